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

// Time limits of callers.
const (
	answerTimeout = 12 * time.Second // for an answer or the next piece
	plainTimeout  = 10 * time.Second // of a request with a plain answer
	streamTimeout = 25 * time.Second // of a streaming request, which may meet many pauses
)

// caller sends one request after the other and reuses its connection while it stays open.
type caller struct {
	soak     *Soak
	random   *rand.Rand
	instance *instance
	sentAt   time.Time // when the last request was written
	conn     net.Conn
	reader   *bufio.Reader
}

// plainOnly is the period, in callers, at which one sends no streaming requests, which take most of
// the time of the others.
const plainOnly = 3

// run sends requests until the soak is over.
func (c *caller) run(n int) {
	defer c.closeConnection()
	kinds := 4
	if n%plainOnly == 0 {
		kinds--
	}
	for i := 0; !c.soak.isStopping(); i++ {
		id := fmt.Sprintf("s%d-c%d-r%d", c.soak.cfg.Seed, n, i)
		if c.conn == nil && !c.connect() {
			c.soak.clock.sleep(shortDelay)
			continue
		}
		switch c.random.IntN(kinds) {
		case 0:
			c.sendPlain(id, "/safe/x")
		case 3:
			c.sendStreaming(id)
		default:
			c.sendPlain(id, "/unsafe/x")
		}
		c.soak.clock.sleep(time.Duration(c.random.IntN(40)) * time.Millisecond)
	}
}

func (c *caller) closeConnection() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// connect opens a connection to a ready instance and reports whether it succeeded.
func (c *caller) connect() bool {
	in := c.soak.randomReadyInstance(c.random)
	if in == nil {
		return false
	}
	conn, err := net.DialTimeout("tcp", in.listen, time.Second)
	if err != nil {
		return false
	}
	c.instance, c.conn, c.reader = in, conn, bufio.NewReader(conn)
	return true
}

// send writes a request and reads the header of its answer.
func (c *caller) send(id, target string, limit time.Duration) (*http.Response, error) {
	_ = c.conn.SetDeadline(c.soak.clock.Now().Add(answerTimeout))
	text := http.MethodPost + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" +
		nativewire.RequestField + ": " + id + "\r\n" + nativewire.KeyField + ": " + apiKey + "\r\n" +
		nativewire.TimeoutField + ": " + limit.String() + "\r\n" + nativewire.PromptField + ": 100\r\n" + nativewire.TokensField + ": 200\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(id), id)
	_, err := io.WriteString(c.conn, text)
	c.sentAt = c.soak.clock.Now()
	if err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, nil)
}

// sendPlain sends a request with a plain answer and checks the answer.
func (c *caller) sendPlain(id, target string) {
	state := c.soak.currentFaultState()
	res, err := c.send(id, target, plainTimeout)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(res.Body)
	}
	unsafe := strings.HasPrefix(target, "/unsafe")
	c.soak.countRequest(id, unsafe)
	if err != nil {
		c.soak.recordCut(c.instance, id, c.sentAt, state)
		c.closeConnection()
		return
	}
	switch {
	case res.StatusCode == http.StatusOK && string(body) != standinregistered.Answer(id, id):
		c.soak.reportViolation("%s: got the answer %q, want its own answer", id, body)
	case res.StatusCode == http.StatusOK && unsafe && c.soak.cluster.recorder.count(id) != 1:
		c.soak.reportViolation("%s: was answered, but ran %d times, want 1", id, c.soak.cluster.recorder.count(id))
	}
	c.soak.recordAnswer(id, res.StatusCode, unsafe, c.sentAt, plainTimeout, state)
	if res.Close {
		c.closeConnection()
	}
}

// sendStreaming sends a request with a streamed answer and checks each piece.
func (c *caller) sendStreaming(id string) {
	state := c.soak.currentFaultState()
	res, err := c.send(id, "/stream/x", streamTimeout)
	c.soak.countRequest(id, false)
	if err != nil {
		c.soak.recordCut(c.instance, id, c.sentAt, state)
		c.closeConnection()
		return
	}
	if res.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, res.Body)
		c.soak.recordAnswer(id, res.StatusCode, false, c.sentAt, streamTimeout, state)
		if res.Close {
			c.closeConnection()
		}
		return
	}
	r := pieces.New(res.Body)
	n := 0
	for {
		_ = c.conn.SetDeadline(c.soak.clock.Now().Add(answerTimeout))
		p, err := r.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			c.soak.recordCut(c.instance, id, c.sentAt, state)
			c.closeConnection()
			return
		}
		n++
		if want := standinregistered.Piece(id, n); string(p.Raw) != want {
			c.soak.reportViolation("%s: piece %d: got %q, want %q", id, n, p.Raw, want)
			c.closeConnection()
			return
		}
	}
	if n != pieceCount {
		c.soak.reportViolation("%s: stream ended as complete after %d pieces, want %d", id, n, pieceCount)
	}
	c.soak.recordAnswer(id, http.StatusOK, false, c.sentAt, streamTimeout, state)
	if res.Close {
		c.closeConnection()
	}
}
