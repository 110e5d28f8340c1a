package exchange

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"crocuslug/timer"
)

// Client makes exchanges and keeps connections between them. Its methods may be
// called from any goroutine.
type Client struct {
	cfg   Settings
	timer *timer.Service
	dials atomic.Uint64

	mu   sync.Mutex
	idle map[string][]*conn // by address, the last used at the end
}

// New returns a client that takes the time from t.
func New(cfg Settings, t *timer.Service) *Client {
	return &Client{cfg: cfg.withDefaults(), timer: t, idle: make(map[string][]*conn)}
}

// Dials returns the number of connections that were asked for.
func (c *Client) Dials() uint64 { return c.dials.Load() }

// Do sends r to the upstream at address and returns its answer, whose body is
// still to be read. The answer's Close must be called. If ctx ends before
// that, the connection is closed, by which the upstream learns that nobody
// waits any more. The error is of class NotSent or Broken.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Answer, error) {
	cn, err := c.connect(ctx, address, r.Fresh)
	if err != nil {
		return nil, NotSent.Wrap(err)
	}
	stop := context.AfterFunc(ctx, cn.abort)
	cn.patience(r.AnswerBy)
	sent := cn.written.Load()
	wrote := &writing{done: make(chan struct{})}
	go func() {
		wrote.err = cn.write(r)
		close(wrote.done)
	}()
	res, err := c.head(cn, r)
	if err != nil {
		stop()
		cn.abort()
		<-wrote.done // the count of bytes is final only then
		if cn.written.Load() == sent {
			return nil, NotSent.Wrap(err)
		}
		return nil, Broken.Wrap(err)
	}
	return &Answer{
		Status: res.StatusCode,
		Header: res.Header,
		Length: res.ContentLength,
		res:    res,
		cn:     cn,
		client: c,
		stop:   stop,
		wrote:  wrote,
	}, nil
}

// writing is a request on its way out. It runs beside the reading of the answer,
// because an upstream may answer before it has read a long request.
type writing struct {
	done chan struct{}
	err  error // valid after done
}

// head reads the head of the answer to r.
func (c *Client) head(cn *conn, r *Request) (*http.Response, error) {
	const mostForeign = 4 // answers of others passed over on one connection
	for range mostForeign {
		res, err := cn.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		if r.Belongs == nil || r.Belongs(res.Header) {
			return res, nil
		}
		if err := discard(res, c.cfg.MaxBody); err != nil {
			return nil, err
		}
	}
	return nil, Broken.New("more than %d answers belong to other requests", mostForeign)
}

// connect returns an idle connection that is sound, or a new one.
func (c *Client) connect(ctx context.Context, address string, fresh bool) (*conn, error) {
	for {
		cn := c.take(address)
		if cn == nil {
			break
		}
		age := c.timer.Now().Sub(cn.idleSince)
		if age < cn.keep && (!fresh || age < c.cfg.FreshFor) && cn.quiet() {
			return cn, nil
		}
		cn.abort()
	}
	c.dials.Add(1)
	d := net.Dialer{
		Timeout:         c.cfg.DialTimeout,
		KeepAliveConfig: keepAlive,
		Control:         control(c.cfg.Unanswered),
	}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(nc, address, c.cfg), nil
}

// take removes the idle connection to address that was used last.
func (c *Client) take(address string) *conn {
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

// put keeps a connection after a whole exchange.
func (c *Client) put(cn *conn, h http.Header) {
	cn.keep = c.cfg.KeepIdle
	if s, ok := keepAliveTimeout(h); ok {
		cn.keep = s
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

// Expire closes the connections that were idle for their time. It is called
// about once a second.
func (c *Client) Expire() {
	now := c.timer.Now()
	var over []*conn
	c.mu.Lock()
	for address, list := range c.idle {
		n := 0
		for _, cn := range list {
			if now.Sub(cn.idleSince) >= cn.keep {
				over = append(over, cn)
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
	for _, cn := range over {
		cn.abort()
	}
}

// Forget closes the idle connections to an address, whose upstream has gone.
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

// writeHead writes the head of r with its framing.
func writeHead(w *bufio.Writer, r *Request) error {
	for _, s := range []string{r.Method, " ", r.Target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		if _, err := w.WriteString(s); err != nil {
			return err
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		if _, err := w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n"); err != nil {
			return err
		}
	}
	if err := r.Header.Write(w); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}
