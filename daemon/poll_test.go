package daemon

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"crocuslug/ident"
)

// TestPollsStayWithinBudget polls a full subset with responses of varying sizes and checks that
// the bytes stay within the budget and that every engine is polled.
func TestPollsStayWithinBudget(t *testing.T) {
	const engines, seconds, perSecond, largest = 32, 120, 4000, 20000
	p := &poller{interval: 500 * time.Millisecond, rate: perSecond}
	var names []ident.Upstream
	for i := range engines {
		names = append(names, ident.Upstream(fmt.Sprint(i)))
	}
	p.setTargets(names, func(u ident.Upstream) (string, bool) { return string(u), true })
	now := time.Unix(1_000_000, 0)
	sum := 0
	polled := make(map[ident.Upstream]int)
	for end := now.Add(seconds * time.Second); now.Before(end); now = now.Add(pollCheckInterval) {
		for next := p.due(now); next != nil; next = p.due(now) {
			n := 450 + len(polled)*sum%largest
			polled[next.name]++
			sum += n
			p.done(next, n)
		}
	}
	if most := perSecond*(seconds+1) + largest; sum > most {
		t.Errorf("bytes: got %d in %d s, want at most %d", sum, seconds, most)
	}
	for _, u := range names {
		if polled[u] == 0 {
			t.Errorf("engine %s: got no poll, want some", u)
		}
	}
}

// TestPollWithoutEnd guards against memory that the answer of one engine may take.
func TestPollWithoutEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		for block := make([]byte, 64<<10); err == nil; { // until the reader closes the connection
			_, err = c.Write(block)
		}
	}()
	p := &poller{client: pollClient()}
	if _, err := p.get(l.Addr().String(), "/v1/load", nil); !errors.Is(err, fasthttp.ErrBodyTooLarge) {
		t.Errorf("got %v, want %v", err, fasthttp.ErrBodyTooLarge)
	}
}
