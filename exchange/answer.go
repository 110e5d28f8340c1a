package exchange

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"
)

// Answer is the answer of an upstream.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // of the body; -1 if it is told by chunks or the end of the connection

	res    *http.Response
	cn     *conn
	client *Client
	stop   func() bool
	wrote  *writing
	ended  bool
	closed bool
}

// Read reads the body. It returns io.EOF only after a whole body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.res.Body.Read(p)
	if err == io.EOF {
		a.ended = true
	} else if err != nil {
		err = Broken.Wrap(err)
	}
	return n, err
}

// Whole reads the body to its end. It returns an error if that is missing or
// the body is larger than the settings allow.
func (a *Answer) Whole() ([]byte, error) {
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

// ReadBy sets when reading the body gives up; zero means never.
func (a *Answer) ReadBy(t time.Time) {
	a.cn.patience(t)
}

// Close ends the exchange. The connection is kept only if both the request and
// the answer were whole and nothing came after it; otherwise it is closed.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	running := a.stop()
	a.cn.patience(time.Time{})
	if running && a.ended && a.reusable() {
		a.client.put(a.cn, a.Header)
		return
	}
	a.cn.abort()
}

func (a *Answer) reusable() bool {
	if a.res.Close || a.cn.br.Buffered() > 0 {
		return false
	}
	if a.Length < 0 && !chunked(a.res.TransferEncoding) {
		return false
	}
	select {
	case <-a.wrote.done:
		return a.wrote.err == nil
	default:
		return false // the upstream has answered without reading it all
	}
}

func chunked(encodings []string) bool {
	return len(encodings) > 0 && strings.EqualFold(encodings[len(encodings)-1], "chunked")
}
