package standinsite

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"crocuslug/ident"
	"crocuslug/intent"
	"crocuslug/operatorclient"
	"crocuslug/revision"
)

// inForcePoll is the interval of asking whether a revision is in force.
const inForcePoll = time.Millisecond

// Operator returns a client of the first operator at some instances, or at all
// live ones if none are named.
func (s *Site) Operator(addresses ...string) *operatorclient.Client {
	if len(addresses) == 0 {
		addresses = s.Addresses()
	}
	c, err := operatorclient.New(operatorclient.Settings{Addresses: addresses, Key: OperatorKey, Pause: s.pause})
	if err != nil {
		panic(err) // there is a key, and a site has instances
	}
	return c
}

func (s *Site) pause(ctx context.Context, d time.Duration) {
	done := make(chan struct{})
	sub := s.timer.After(d, func(time.Time) { close(done) })
	defer sub.Stop()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Change plans and confirms an intent.
func (s *Site) Change(ctx context.Context, c *operatorclient.Client, in intent.Intent) (revision.Record, error) {
	p, err := c.Plan(ctx, in)
	if err != nil {
		return revision.Record{}, err
	}
	rec, err := c.Confirm(ctx, p)
	if err != nil {
		return rec, err
	}
	return rec, nil
}

// Configure plans and confirms the site's own document and waits until it is in
// force at all live instances.
func (s *Site) Configure(ctx context.Context) (revision.Record, error) {
	rec, err := s.Change(ctx, s.Operator(), intent.Intent{Whole: true, Set: s.doc, Note: "The site's own configuration"})
	if err != nil {
		return rec, err
	}
	return rec, s.AwaitInForce(ctx, rec.Revision)
}

// InForce returns the number of live instances, and of those that serve by a
// revision or a later one.
func (s *Site) InForce(rev ident.Revision) (in, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, d := range s.Instances {
		if !s.alive[i] {
			continue
		}
		all++
		if d.Revision() >= rev {
			in++
		}
	}
	return in, all
}

// AwaitInForce waits until a revision or a later one is in force at all live
// instances. It returns an error when ctx ends before.
func (s *Site) AwaitInForce(ctx context.Context, rev ident.Revision) error {
	for {
		in, all := s.InForce(rev)
		if in == all {
			return nil
		}
		if ctx.Err() != nil {
			return errs.New("revision %d is in force at %d of %d instances: %v", rev, in, all, ctx.Err())
		}
		time.Sleep(inForcePoll)
	}
}

// Isolate ends all traffic between a failure domain and the others, and its way to
// the platform's key-value service, or with false lets both pass again. It
// returns an error if the service cannot listen again.
func (s *Site) Isolate(domain ident.Domain, cut bool) error {
	s.mu.Lock()
	s.cut[domain] = cut
	s.mu.Unlock()
	if cut {
		s.KeyValue[domain].Kill()
		return nil
	}
	return s.KeyValue[domain].Restart()
}

// passes reports whether traffic passes between two failure domains.
func (s *Site) passes(a, b ident.Domain) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return a == b || !s.cut[a] && !s.cut[b] && !s.pairs[[2]ident.Domain{a, b}]
}
