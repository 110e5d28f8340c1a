package exchange

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"
)

// Answer is the answer of an upstream. Its header was read; its body is read from the connection.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // of the body in bytes; -1 if the body ends by its chunks or with the connection

	res      *http.Response
	cn       *conn
	client   *Client
	stop     func() bool // stops the close of the connection at the end of the context
	sending  *requestWrite
	bodyRead bool // the body was read to its end
	closed   bool
}

// Read reads the body. It returns io.EOF only after the complete body, and otherwise an error of
// class Broken.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.res.Body.Read(p)
	if err == io.EOF {
		a.bodyRead = true
	} else if err != nil {
		err = Broken.Wrap(err)
	}
	return n, err
}

// ReadBody returns the complete body. It returns an error if the body is incomplete or larger than
// Settings.MaxBody.
func (a *Answer) ReadBody() ([]byte, error) {
	var b bytes.Buffer
	if a.Length > 0 {
		b.Grow(int(min(a.Length, a.client.cfg.MaxBody)))
	}
	n, err := b.ReadFrom(io.LimitReader(a, a.client.cfg.MaxBody+1))
	if err != nil {
		return nil, err
	}
	if n > a.client.cfg.MaxBody {
		return nil, Broken.New("answer has more than %d bytes", a.client.cfg.MaxBody)
	}
	return b.Bytes(), nil
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
	a.cn.setReadDeadline(time.Time{})
	a.cn.extend = nil
	if running && a.bodyRead && a.reusable() {
		a.client.putIdle(a.cn, a.Header)
		return
	}
	a.cn.abort()
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
	select {
	case <-a.sending.done:
		return a.sending.err == nil
	default:
		return false // the upstream answered before it read the whole request
	}
}

// Delimited reports whether the answer says where its body ends. Otherwise the body ends with the
// connection, and an upstream that crashes between two events leaves what looks like a whole answer.
func (a *Answer) Delimited() bool { return a.Length >= 0 || chunked(a.res.TransferEncoding) }

// chunked reports whether the body ends by its last chunk.
func chunked(encodings []string) bool {
	return len(encodings) > 0 && strings.EqualFold(encodings[len(encodings)-1], "chunked")
}
