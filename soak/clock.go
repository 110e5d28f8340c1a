package soak

import (
	"context"
	"time"

	"crocuslug/timer"
)

// clock is the timer service of a run with blocking waits.
type clock struct {
	*timer.Service
}

// pause waits for d or until ctx is done.
func (c clock) pause(ctx context.Context, d time.Duration) {
	done := make(chan struct{})
	sub := c.After(d, func(time.Time) { close(done) })
	defer sub.Stop()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// sleep waits for d.
func (c clock) sleep(d time.Duration) { c.pause(context.Background(), d) }

// since returns the time from t until now.
func (c clock) since(t time.Time) time.Duration { return c.Now().Sub(t) }
