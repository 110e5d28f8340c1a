package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"crocuslug/nativewire"
	"crocuslug/pieces"
	"crocuslug/standinregistered"
)

// patience is how long a caller waits for an answer or the next piece.
const patience = 12 * time.Second

// caller sends one request after another, on one connection as long as it lives.
type caller struct {
	s      *Soak
	random *rand.Rand
	in     *instance
	sent   time.Time // when the last request was written
	conn   net.Conn
	br     *bufio.Reader
}

// run sends requests until the soak is over.
func (c *caller) run(n int) {
	defer c.hangUp()
	for i := 0; !c.s.over(); i++ {
		id := fmt.Sprintf("s%d-c%d-r%d", c.s.cfg.Seed, n, i)
		if c.conn == nil && !c.connect() {
			c.s.clock.sleep(slowBy)
			continue
		}
		switch c.random.IntN(4) {
		case 0:
			c.stream(id)
		case 1:
			c.plain(id, "/safe/x")
		default:
			c.plain(id, "/unsafe/x")
		}
		c.s.clock.sleep(time.Duration(c.random.IntN(40)) * time.Millisecond)
	}
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// connect reaches an instance that is ready.
func (c *caller) connect() bool {
	in := c.s.pickReady(c.random)
	if in == nil {
		return false
	}
	conn, err := net.DialTimeout("tcp", in.listen, time.Second)
	if err != nil {
		return false
	}
	c.in, c.conn, c.br = in, conn, bufio.NewReader(conn)
	return true
}

// send writes a request and reads the head of its answer.
func (c *caller) send(id, target, method string) (*http.Response, error) {
	_ = c.conn.SetDeadline(c.s.clock.Now().Add(patience))
	text := method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" +
		nativewire.RequestField + ": " + id + "\r\n" + nativewire.KeyField + ": " + apiKey + "\r\n" +
		nativewire.TimeoutField + ": 10s\r\n" + nativewire.PromptField + ": 100\r\n" + nativewire.TokensField + ": 200\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(id), id)
	_, err := io.WriteString(c.conn, text)
	c.sent = c.s.clock.Now()
	if err != nil {
		return nil, err
	}
	return http.ReadResponse(c.br, nil)
}

// plain sends a request whose answer is whole and checks it.
func (c *caller) plain(id, target string) {
	calm := c.s.calmNow()
	res, err := c.send(id, target, http.MethodPost)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(res.Body)
	}
	unsafe := strings.HasPrefix(target, "/unsafe")
	c.s.asked(id, unsafe)
	if err != nil {
		c.s.cut(c.in, id, c.sent, calm)
		c.hangUp()
		return
	}
	switch {
	case res.StatusCode == http.StatusOK && string(body) != standinregistered.Answer(id, id):
		c.s.violate("%s: got the answer %q, want its own", id, body)
	case res.StatusCode == http.StatusOK && unsafe && c.s.world.recorder.count(id) != 1:
		c.s.violate("%s: answered, and ran %d times", id, c.s.world.recorder.count(id))
	}
	c.s.answered(id, res.StatusCode, unsafe, calm)
	if res.Close {
		c.hangUp()
	}
}

// stream sends a request whose answer is a stream and checks each piece.
func (c *caller) stream(id string) {
	calm := c.s.calmNow()
	res, err := c.send(id, "/stream/x", http.MethodPost)
	c.s.asked(id, false)
	if err != nil {
		c.s.cut(c.in, id, c.sent, calm)
		c.hangUp()
		return
	}
	if res.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, res.Body)
		c.s.answered(id, res.StatusCode, false, calm)
		if res.Close {
			c.hangUp()
		}
		return
	}
	r := pieces.New(res.Body)
	n := 0
	for {
		_ = c.conn.SetDeadline(c.s.clock.Now().Add(patience))
		p, err := r.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			c.s.cut(c.in, id, c.sent, calm)
			c.hangUp()
			return
		}
		n++
		if want := standinregistered.Piece(id, n); string(p.Raw) != want {
			c.s.violate("%s: piece %d: got %q, want %q", id, n, p.Raw, want)
			c.hangUp()
			return
		}
	}
	if n != pieceCount {
		c.s.violate("%s: a stream ended as whole after %d pieces, want %d", id, n, pieceCount)
	}
	c.s.answered(id, http.StatusOK, false, calm)
	if res.Close {
		c.hangUp()
	}
}
