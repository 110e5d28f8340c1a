package exchange

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"crocuslug/ident"
	"crocuslug/socket"
)

// Answer is the answer of an upstream. Its header was read; its body is read from the connection.
type Answer struct {
	Status int
	Header http.Header
	Length int64          // of the body in bytes; -1 if the body ends by its chunks or with the connection
	Helper ident.Instance // instance that passed the exchange on; "" if the connection was direct

	res      *http.Response
	cn       *conn
	client   *Client
	stop     func() bool // stops the close of the connection at the end of the context
	sending  *requestWrite
	onClose  func(settled <-chan struct{}) // Request.Closed
	memory   hold
	take     func(n int64) error // Request.Take
	give     func(n int64)       // Request.Give
	taken    int64               // bytes that take took and give has to return
	maxBody  int64               // in bytes
	bodyRead bool                // the body was read to its end
	closed   bool
}

// Read reads the body. It returns io.EOF only after the complete body, and otherwise an error of
// class Broken. At the end of a body that ends with the connection, it also ends the write of the request.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.res.Body.Read(p)
	if err == io.EOF && a.endsWithConnection() {
		if failure := a.sending.stop(a.cn); socket.Failed(failure) {
			err = failure
		}
	}
	if err == io.EOF {
		a.bodyRead = true
	} else if err != nil {
		err = a.readError(err)
	}
	return n, err
}

// endsWithConnection reports whether only the end of the connection shows the end of the body, as the kernel
// tells it. A connection through another instance says by its last frame that the upstream closed it in order.
func (a *Answer) endsWithConnection() bool {
	return !a.Delimited() && a.res.Body != http.NoBody && a.cn.helper() == ""
}

// AliveAt returns an uptime of this machine, as by timer.Service.Uptime, after which the upstream was still
// alive: it sent something later that has been read. The time at which data is read shows nothing, since
// data waits while this process is paused or the caller takes no more.
func (a *Answer) AliveAt() time.Duration { return a.cn.arrivals.sentAfter }

func (a *Answer) readError(err error) error {
	if reason := a.client.buffers.reason(&a.memory); reason != nil {
		return reason
	}
	return Broken.Wrap(err)
}

// Reserve counts n bytes more of the body as held in memory by the caller, until Close. It returns
// an error of class Broken if the answer was broken off because the bodies in memory exceed
// Settings.MaxBuffered, or if Request.Take fails.
func (a *Answer) Reserve(n int64) error {
	if a.take != nil {
		if err := a.take(n); err != nil {
			return Broken.Wrap(err)
		}
		a.taken += n
	}
	return a.client.buffers.take(&a.memory, n)
}

// ReadBody returns the complete body. It returns an error if the body is incomplete or larger than
// allowed, or if Reserve does.
func (a *Answer) ReadBody() ([]byte, error) {
	first, more, err := a.ReadParts()
	if len(more) == 0 {
		return first, err
	}
	return slices.Concat(append([][]byte{first}, more...)...), err
}

// ReadParts returns the complete body in parts, first and more, as ReadBody does without a copy. What
// Request.Take took for them stays taken after Close.
func (a *Answer) ReadParts() (first []byte, more [][]byte, err error) {
	var size int64
	for !a.bodyRead {
		if size > a.maxBody || a.Length > a.maxBody && a.res.Body != http.NoBody {
			return nil, nil, Broken.New("answer has more than %d bytes", a.maxBody)
		}
		n := a.nextPart(size)
		if err := a.Reserve(n); err != nil {
			return nil, nil, err
		}
		part := make([]byte, n)
		got, err := io.ReadFull(a, part)
		if err != nil && !a.bodyRead {
			return nil, nil, err
		}
		if size == 0 {
			first = part[:got]
		} else {
			more = append(more, part[:got])
		}
		size += int64(got)
	}
	a.taken = 0
	return first, more, nil
}

// Sizes in bytes of the parts in which a body is read. Memory is taken for what has arrived and one
// part more, whatever the length that the answer names.
const (
	firstPart   = 4 << 10  // of a body without a length
	trustedPart = 64 << 10 // of a body with a length
	maxPart     = 1 << 20
)

// nextPart returns how many bytes to read after size bytes of the body.
func (a *Answer) nextPart(size int64) int64 {
	first, rest := int64(firstPart), a.maxBody+1-size
	if a.Length >= 0 {
		first, rest = trustedPart, a.Length-size
	}
	const least = 1 // shows the end of the body
	return max(least, min(max(first, size), maxPart, rest))
}

// SetReadDeadline sets the time at which reading the body fails; zero means never.
func (a *Answer) SetReadDeadline(t time.Time) {
	a.cn.setReadDeadline(t)
}

// Close ends the exchange. The connection is kept for reuse only if the request was sent and the
// answer read completely and no bytes followed the answer; otherwise it is closed.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	running := a.stop()
	lost := a.client.buffers.release(&a.memory)
	if a.give != nil && a.taken > 0 {
		a.give(a.taken)
	}
	a.cn.setReadDeadline(time.Time{})
	a.cn.extend = nil
	if running && !lost && a.bodyRead && a.reusable() {
		a.client.putIdle(a.cn, a.Header)
		return
	}
	a.cn.abort()
	reportClosed(a.cn, a.onClose)
}

// reusable reports whether another request may be sent on the connection, given that the body was
// read to its end.
func (a *Answer) reusable() bool {
	if a.res.Close || a.cn.br.Buffered() > 0 {
		return false
	}
	if !a.Delimited() {
		return false
	}
	return a.sending.stop(a.cn) == nil // the upstream may answer before it reads the whole request
}

// Delimited reports whether the answer says where its body ends. Otherwise the body ends with the
// connection, and an upstream that crashes between two events leaves what looks like a whole answer.
func (a *Answer) Delimited() bool { return a.Length >= 0 || chunked(a.res.TransferEncoding) }

// chunked reports whether the body ends by its last chunk.
func chunked(encodings []string) bool {
	return len(encodings) > 0 && strings.EqualFold(encodings[len(encodings)-1], "chunked")
}
