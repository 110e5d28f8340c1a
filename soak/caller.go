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

	"crocuslug/ident"
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

// send writes a request with additional header fields, each a name and its value, and reads the header of its answer.
func (c *caller) send(id, target string, limit time.Duration, fields ...string) (*http.Response, error) {
	_ = c.conn.SetDeadline(c.soak.clock.Now().Add(answerTimeout))
	text := http.MethodPost + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" +
		nativewire.RequestField + ": " + id + "\r\n" + nativewire.KeyField + ": " + apiKey + "\r\n" +
		nativewire.TimeoutField + ": " + limit.String() + "\r\n" + nativewire.PromptField + ": 100\r\n" + nativewire.TokensField + ": 200\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n", len(id))
	for i := 0; i < len(fields); i += 2 {
		text += fields[i] + ": " + fields[i+1] + "\r\n"
	}
	text += "\r\n" + id
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

// sendStreaming sends a request with a streamed answer, and takes the stream up again if it is cut.
func (c *caller) sendStreaming(id string) {
	held := &heldStream{origin: id, builds: make(map[ident.Build]bool)}
	cut := c.tryStream(id, held)
	c.soak.countBegun(held.last > 0)
	for try := 2; try <= maxStreamTries && cut && held.last > 0 && !c.soak.isStopping(); try++ {
		c.soak.clock.sleep(shortDelay)
		if c.conn == nil && !c.connect() {
			continue
		}
		counts, before := c.soak.inTouch(c.instance) && c.soak.cluster.serves(held.build), held.last
		cut = c.tryStream(fmt.Sprintf("%s-%d", id, try), held)
		c.soak.recordTakenUp(held, counts, held.last > before)
	}
}

// maxStreamTries is the number of requests that a caller makes for one stream.
const maxStreamTries = 4

// heldStream is a stream as its caller holds it, over several requests.
type heldStream struct {
	origin string // id of the request that brought the first piece
	last   int    // number of the last piece
	build  ident.Build
	builds map[ident.Build]bool // of the engines that wrote its pieces
	mixed  bool                 // counted as a stream of two builds
}

// tryStream makes one request for a stream and checks each piece. It reports whether the stream was
// cut, or refused after it had begun, so that it may be taken up.
func (c *caller) tryStream(id string, held *heldStream) (cut bool) {
	state := c.soak.currentFaultState()
	var fields []string
	if held.last > 0 {
		fields = []string{nativewire.AfterField, fmt.Sprint(held.last), nativewire.OriginField, held.origin}
	}
	res, err := c.send(id, "/stream/x", streamTimeout, fields...)
	c.soak.countRequest(id, false)
	if err != nil {
		c.soak.recordCut(c.instance, id, c.sentAt, state)
		c.closeConnection()
		return true
	}
	if res.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, res.Body)
		if held.last == 0 {
			c.soak.recordAnswer(id, res.StatusCode, false, c.sentAt, streamTimeout, state)
		}
		if res.Close {
			c.closeConnection()
		}
		return held.last > 0
	}
	r := pieces.New(res.Body)
	for {
		_ = c.conn.SetDeadline(c.soak.clock.Now().Add(answerTimeout))
		p, err := r.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			c.soak.recordCut(c.instance, id, c.sentAt, state)
			c.closeConnection()
			return true
		}
		held.last++
		held.build = standinregistered.BuildOf(p.Raw)
		held.builds[held.build] = true
		if want := standinregistered.PieceOf(held.build, id, held.last); string(p.Raw) != want {
			c.soak.reportViolation("%s: piece %d: got %q, want %q", id, held.last, p.Raw, want)
			c.closeConnection()
			return false
		}
	}
	if held.last != pieceCount {
		c.soak.reportViolation("%s: stream ended as complete after %d pieces, want %d", id, held.last, pieceCount)
	}
	c.soak.recordBuilds(held)
	c.soak.recordAnswer(id, http.StatusOK, false, c.sentAt, streamTimeout, state)
	if res.Close {
		c.closeConnection()
	}
	return false
}
