package exchange

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"crocuslug/timer"
)

// Client makes exchanges and keeps idle connections for reuse. Its methods may be called from any
// goroutine.
type Client struct {
	// Dial opens a connection to the upstream at an address. It may be replaced before the first use.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	cfg   Settings
	timer *timer.Service
	dials atomic.Uint64

	buffers *buffers

	mu   sync.Mutex
	idle map[string][]*conn // by address, the most recently used last
}

// New returns a client that takes the time from t.
func New(cfg Settings, t *timer.Service) *Client {
	cfg = cfg.withDefaults()
	return &Client{Dial: newDialer(cfg).dial, cfg: cfg, timer: t, buffers: newBuffers(cfg.MaxBuffered), idle: make(map[string][]*conn)}
}

// Dials returns the number of connections that the client has tried to open.
func (c *Client) Dials() uint64 { return c.dials.Load() }

// Do sends r to the upstream at address and returns its answer, whose body is still to be read.
// The caller must call Close on the answer. If ctx ends before that, the connection is closed,
// which tells the upstream that the answer is no longer needed. The error is of class NotSent or
// Broken.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Answer, error) {
	began := c.timer.Uptime()
	cn, err := c.connect(ctx, address, r)
	if err != nil {
		return nil, NotSent.Wrap(err)
	}
	if r.Check != nil {
		if err := r.Check(cn.path()); err != nil {
			cn.abort()
			return nil, NotSent.Wrap(err)
		}
	}
	cn.arrivals.begin(began)
	stop := context.AfterFunc(ctx, cn.abort)
	cn.setReadDeadline(r.AnswerBy)
	cn.extend = r.Extend
	sent := cn.written.Load()
	sending := &requestWrite{done: make(chan struct{})}
	go func() {
		sending.err = cn.write(r)
		close(sending.done)
	}()
	res, err := c.readAnswerHead(cn, r)
	if err != nil {
		stop()
		cn.abort()
		<-sending.done // the count of written bytes is final only then
		reportClosed(cn, r.Closed)
		if cn.written.Load() == sent {
			return nil, NotSent.Wrap(err)
		}
		return nil, Broken.Wrap(err)
	}
	return &Answer{
		Status:  res.StatusCode,
		Header:  res.Header,
		Length:  res.ContentLength,
		Helper:  cn.helper(),
		res:     res,
		cn:      cn,
		client:  c,
		stop:    stop,
		sending: sending,
		onClose: r.Closed,
		memory:  hold{abort: cn.abort},
		maxBody: c.maxBody(r),
		take:    r.Take,
		give:    r.Give,
	}, nil
}

// reportClosed calls closed, if it is not nil, after abort of a connection through another instance.
func reportClosed(cn *conn, closed func(settled <-chan struct{})) {
	if settled := cn.settled(); settled != nil && closed != nil {
		closed(settled)
	}
}

func (c *Client) maxBody(r *Request) int64 {
	if r.MaxBody > 0 {
		return r.MaxBody
	}
	return c.cfg.MaxBody
}

// requestWrite is the write of a request. It runs concurrently with reading the answer, because an
// upstream may answer before it has read a long request.
type requestWrite struct {
	done chan struct{}
	err  error // valid once done is closed
}

// stop ends a write in progress and returns its error, which is nil if the whole request was written.
// After that the connection can be written to again.
func (w *requestWrite) stop(cn *conn) error {
	const past = 1                              // Unix time
	_ = cn.SetWriteDeadline(time.Unix(past, 0)) // fails only on a closed connection, and then the write fails too
	<-w.done
	_ = cn.SetWriteDeadline(time.Time{})
	return w.err
}

// readAnswerHead reads the head of the answer to r. It skips interim answers and answers to other
// requests.
func (c *Client) readAnswerHead(cn *conn, r *Request) (*http.Response, error) {
	const maxForeign = 4 // interim answers and answers to other requests before the exchange fails
	for range maxForeign {
		res, err := cn.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		if r.IsAnswer == nil || r.IsAnswer(res.Header) {
			return res, nil
		}
		if err := discardBody(res, c.cfg.MaxBody); err != nil {
			return nil, err
		}
	}
	return nil, Broken.New("none of %d answers on the connection belongs to the request", maxForeign)
}

// connect returns a usable idle connection, or a new one, as r asks for.
func (c *Client) connect(ctx context.Context, address string, r *Request) (*conn, error) {
	for !r.NewConnection {
		cn := c.takeIdle(address)
		if cn == nil {
			break
		}
		age := c.timer.Now().Sub(cn.idleSince)
		if age < cn.idleTimeout && (!r.Fresh || age < c.cfg.FreshTime) && cn.idleAndOpen() {
			return cn, nil
		}
		cn.abort()
	}
	c.dials.Add(1)
	nc, err := c.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return newConn(nc, address, c.cfg, c.timer.Uptime), nil
}

// takeIdle removes and returns the most recently used idle connection to address, or nil if there
// is none.
func (c *Client) takeIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	if len(list) == 1 {
		delete(c.idle, address)
	} else {
		c.idle[address] = list[:len(list)-1]
	}
	return cn
}

// putIdle keeps a connection after a complete exchange. h is the header of the answer, which may
// name the idle time-out of the upstream.
func (c *Client) putIdle(cn *conn, h http.Header) {
	cn.idleTimeout = c.cfg.IdleTimeout
	if s, ok := keepAliveTimeout(h); ok {
		cn.idleTimeout = s
	}
	cn.idleSince = c.timer.Now()
	c.mu.Lock()
	list := c.idle[cn.address]
	var old *conn
	if len(list) >= c.cfg.MaxIdle {
		old, list = list[0], list[1:]
	}
	c.idle[cn.address] = append(list, cn)
	c.mu.Unlock()
	if old != nil {
		old.abort()
	}
}

// Expire closes the connections whose idle time is over. It is called about once a second.
func (c *Client) Expire() {
	now := c.timer.Now()
	var expired []*conn
	c.mu.Lock()
	for address, list := range c.idle {
		n := 0
		for _, cn := range list {
			if now.Sub(cn.idleSince) >= cn.idleTimeout {
				expired = append(expired, cn)
				continue
			}
			list[n] = cn
			n++
		}
		if n == 0 {
			delete(c.idle, address)
		} else {
			c.idle[address] = list[:n]
		}
	}
	c.mu.Unlock()
	for _, cn := range expired {
		cn.abort()
	}
}

// Forget closes the idle connections to the address of an upstream that is gone.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, cn := range list {
		cn.abort()
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	all := c.idle
	c.idle = make(map[string][]*conn)
	c.mu.Unlock()
	for _, list := range all {
		for _, cn := range list {
			cn.abort()
		}
	}
}

// writeHead writes the request line and the header of r, with a Content-Length where one is
// needed.
func writeHead(w *bufio.Writer, r *Request) error {
	for _, s := range []string{r.Method, " ", r.Target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		if _, err := w.WriteString(s); err != nil {
			return err
		}
	}
	length := len(r.Body)
	for _, part := range r.More {
		length += len(part)
	}
	if length > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		if _, err := w.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n"); err != nil {
			return err
		}
	}
	if err := r.Header.Write(w); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}
