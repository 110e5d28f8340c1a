package exchange

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"crocuslug/timer"
)

// TestAnswerBeforeRequest guards against an answer that arrives on a kept connection after the connection
// was found idle, and before a byte of the request is written, being taken for the answer to the request.
func TestAnswerBeforeRequest(t *testing.T) {
	t.Parallel()
	const answer = "HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n"
	for _, field := range []string{"Id: 1\r\n", "Id: 3\r\n", ""} {
		again := make(chan struct{})
		u := startUpstream(t, func(_ int, c *net.TCPConn) {
			br := bufio.NewReader(c)
			_, _ = readRequest(c, br)
			_, _ = fmt.Fprintf(c, answer, 200, "Id: 1\r\n")
			<-again
			_, _ = fmt.Fprintf(c, answer, 503, field)
			if id, err := readRequest(c, br); err == nil {
				_, _ = fmt.Fprintf(c, answer, 200, "Id: "+id+"\r\n")
			}
		})
		c := New(Settings{}, timer.New())
		if got, want := exchangeResult(context.Background(), c, u.Addr().String(), "1"), `200 ""`; got != want {
			t.Fatalf("first request: got %s, want %s", got, want)
		}
		r := newRequest("2")
		r.AnswerBy = time.Now().Add(5 * time.Second)
		r.Check = func(Path) error {
			close(again)
			time.Sleep(50 * time.Millisecond) // the answer arrives
			return nil
		}
		if got, want := result(context.Background(), c, u.Addr().String(), r), `200 ""`; got != want || c.Dials() != 1 {
			t.Errorf("early answer with fields %q: got %s on connection %d, want %s on the first", field, got, c.Dials(), want)
		}
		c.Close()
	}
}
