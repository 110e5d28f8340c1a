package serviceproxy

import (
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/zeebo/xxh3"

	"crocuslug/configuration"
	"crocuslug/result"
	"crocuslug/suspect"
)

// Limits of the detection of contents that crash upstreams.
const (
	crashCheckDelay = 250 * time.Millisecond // between the two checks whether an upstream is gone
	answeredLead    = 30 * time.Second       // an answer excuses its content from crashes up to this long after it
	maxAnswered     = 8192                   // contents whose last answer is kept, in each of two generations
)

// contentOf returns the hash of what a request is about. Requests with equal contents do the same.
func contentOf(r *request) uint64 {
	h := xxh3.New()
	for _, s := range []string{string(r.workspace), string(r.service.Name), string(r.ctx.Method()), r.path, string(r.ctx.URI().QueryString())} {
		_, _ = h.WriteString(s + "\n") // writing to a hash never fails
	}
	_, _ = h.Write(r.ctx.Request.Body())
	return h.Sum64()
}

// refuseContent returns the error for a request whose content crashes upstreams, or nil. run says
// whether it may have run.
func (p *Proxy) refuseContent(r *request, run result.Run) *result.Error {
	if p.ports.Suspects == nil {
		return nil
	}
	now := p.timer.Now()
	state, until := p.ports.Suspects.Restriction(now, r.content)
	if state != suspect.Banned {
		return nil
	}
	e := result.New(result.RequestCrashes, "upstreams crashed whenever they ran this content").Ran(run)
	if run == result.RunNot {
		e = e.After(until.Sub(now))
	}
	return e
}

// recordEnd records how a request ended that was sent to an upstream. If its connection broke, the
// upstream crashed if it refuses connections then or after crashCheckDelay.
func (p *Proxy) recordEnd(r *request, up configuration.Upstream, sent time.Time, err error) {
	if p.ports.Suspects == nil || isTimeout(err) {
		return
	}
	content := r.content
	if err == nil {
		if r.ctx.Response.StatusCode() < http.StatusBadRequest {
			p.recordAnswered(content)
			p.ports.Suspects.Completed(content)
		}
		return
	}
	if p.answeredLately(content) {
		return
	}
	lost := p.timer.Now()
	check := func() bool {
		conn, err := p.dial(up.Address)
		if err == nil {
			_ = conn.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	go func() { // ends after the second check
		if check() {
			p.ports.Suspects.Crashed(lost, up.Name, content, lost.Sub(sent))
			return
		}
		p.timer.After(crashCheckDelay, func(time.Time) {
			go func() {
				if check() {
					p.ports.Suspects.Crashed(lost, up.Name, content, lost.Sub(sent))
				}
			}()
		})
	}()
}

// recordAnswered records that an upstream has answered a content.
func (p *Proxy) recordAnswered(content uint64) {
	now := p.timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answered == nil || len(p.answered) >= maxAnswered || now.Sub(p.answeredSince) > answeredLead {
		p.formerAnswered, p.answered, p.answeredSince = p.answered, make(map[uint64]time.Time), now
	}
	p.answered[content] = now
}

// answeredLately reports whether an upstream has answered a content within answeredLead.
func (p *Proxy) answeredLately(content uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.answered[content]
	if !ok {
		at, ok = p.formerAnswered[content]
	}
	return ok && p.timer.Now().Sub(at) <= answeredLead
}
