package main

import (
	"syscall"
	"testing"
	"time"

	"crocuslug/timer"
)

// TestStopTakesTime holds that a stand-in that has time to pass after a signal
// comes to its end.
func TestStopTakesTime(t *testing.T) {
	done := make(chan error, 1)
	go func() {
		done <- serve(func(clock *timer.Service, _ string) (server, error) {
			return server{
				start: func() error { return syscall.Kill(syscall.Getpid(), syscall.SIGTERM) },
				addr:  func() string { return "" },
				stop: func() {
					passed := make(chan struct{})
					clock.After(time.Millisecond, func(time.Time) { close(passed) })
					<-passed
				},
			}, nil
		}, "")
	}()
	const patience = 30 * time.Second
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("got %v, want an end", err)
		}
	case <-time.After(patience):
		t.Fatal("got no end, want one a millisecond after the signal")
	}
}
