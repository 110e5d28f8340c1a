package standinservice

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"crocuslug/timer"
)

func TestFaultsDoNotFalsifyRunCounts(t *testing.T) {
	s := New(Settings{}, timer.NewVirtual(time.Unix(0, 0)))
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	web := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	steps := []struct {
		name   string
		faults Faults
		key    string
		status int // 0 means no answer
		runs   int // of the key afterwards
	}{
		{"first", Faults{}, "k1", 201, 1},
		{"repeated", Faults{}, "k1", 201, 2},
		{"answer lost after the run", Faults{LoseAnswers: 1}, "k2", 0, 1},
		{"dropped before the run", Faults{DropRequests: 1}, "k3", 0, 0},
		{"refused", Faults{Refuse: 1}, "k4", 503, 0},
		{"within the rate of a second", Faults{RatePerSec: 4}, "k5", 201, 1},
		{"above the rate of a second", Faults{RatePerSec: 4}, "k6", 429, 0},
	}
	for _, step := range steps {
		s.SetFaults(step.faults)
		req, _ := http.NewRequest("POST", "http://"+s.Addr()+bookingsPath, nil)
		req.Header.Set("Idempotency-Key", step.key)
		got := 0
		if res, err := web.Do(req); err == nil {
			got = res.StatusCode
			_ = res.Body.Close()
		}
		if got != step.status {
			t.Errorf("%s: status: got %d, want %d", step.name, got, step.status)
		}
		if got := s.Runs(step.key); got != step.runs {
			t.Errorf("%s: runs: got %d, want %d", step.name, got, step.runs)
		}
	}
	if got, want := s.Calls(), (Calls{Runs: 4, Doubled: 1, Refused: 2, Dropped: 2}); got != want {
		t.Errorf("calls: got %+v, want %+v", got, want)
	}
	if err := s.Restart(); err != nil {
		t.Fatal(err)
	}
	s.SetFaults(Faults{})
	res, err := web.Get("http://" + s.Addr() + bookingsPath + "/k2")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, _ := io.ReadAll(res.Body)
	if got, want := string(body), `"Runs":1`; res.StatusCode != 200 || !strings.Contains(got, want) {
		t.Errorf("status path: got %d %s, want 200 with %s", res.StatusCode, got, want)
	}
}
