package upstreamcontrol

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"crocuslug/store"
	"crocuslug/timer"
)

// TestEndlessAnswer guards against memory that the answer of one engine may take.
func TestEndlessAnswer(t *testing.T) {
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
	c := New(Settings{}, Ports{}, store.Store{}, timer.New(), "i1", "d1")
	const limit = 10 * time.Second
	if err := c.call(http.MethodGet, "http://"+l.Addr().String()+"/v1/state", nil, nil, limit); !errors.Is(err, fasthttp.ErrBodyTooLarge) {
		t.Errorf("got %v, want %v", err, fasthttp.ErrBodyTooLarge)
	}
}
