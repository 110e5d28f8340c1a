package main

import (
	"syscall"
	"testing"
	"time"

	"crocuslug/timer"
)

// TestServeWaitsForStop checks that a stand-in whose stop waits for the timer ends
// after a signal: the timer must still run during the stop.
func TestServeWaitsForStop(t *testing.T) {
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
	const timeout = 30 * time.Second
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("serve: got error %v, want none", err)
		}
	case <-time.After(timeout):
		t.Fatal("serve: got no return, want one a millisecond after the signal")
	}
}
