package canary

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"crocuslug/ident"
)

// reportEntry is the size of an entry of a report, by route, and reportHead what stands once in it (docs/PLAN.md).
const (
	reportEntry = 120
	reportHead  = 200
)

// TestManyInstances guards against a share, a report or a verdict that holds at 72 instances and not at 930, where most
// instances have few attempts, and a report names one of 30 instances. One service has 150 requests a second of all
// instances together, so that most instances have one or two in a delivery.
func TestManyInstances(t *testing.T) {
	for _, n := range []int{72, 930} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			s := newSite(n, 7)
			s.traffic = []traffic{
				{"s", "chat", 50, 600 * time.Millisecond, [2]time.Duration{5 * time.Second, 10 * time.Second}},
				{"s", "call", 100, 50 * time.Millisecond, [2]time.Duration{0, 50 * time.Millisecond}},
			}
			s.faults = []fault{{build: "v2", fraction: 0.6, to: time.Minute}}
			s.after(time.Second, func() { s.order("s", "v2", 12*time.Second) })
			s.run(8 * time.Second)
			y := s.tallies["s"]
			if got, most := float64(y.sent), 0.08*float64(y.requests)+25; got > most {
				t.Errorf("requests to the bad build: got %.0f, want at most %.0f", got, most)
			}
			if got := s.final["s"]; got != RolledBack {
				t.Errorf("state after 8 s: got %q, want %q", got, RolledBack)
			}
			if got, most := s.maxReport, (maxTold+1)*reportEntry*len(s.traffic)+reportHead; got > most || got == 0 {
				t.Errorf("bytes of a report: got %d, want 1 to %d", got, most)
			}
			t.Logf("requests %d, to the new build %d, bad %d, rolled back %s after the order, report at most %d B",
				y.requests, y.sent, y.bad, s.ended["s"].Sub(s.given["s"]), s.maxReport)
		})
	}
}

// TestStaleInstances guards against early credit or shares that add up beyond the bound when 930 instances choose at
// once and hear nothing of each other. Each has 40 attempts.
func TestStaleInstances(t *testing.T) {
	const instances, attempts = 930, 40
	start := time.Unix(1000, 0)
	var ids []ident.Instance
	for i := range instances {
		ids = append(ids, ident.Instance(fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256)))
	}
	sent := 0
	for _, id := range ids {
		tr := New(Settings{Share: 0.1, Slack: 50}, id, start.Add(-time.Minute))
		tr.SetInSync(true)
		tr.Report(start.Add(-30 * time.Second))
		tr.SetInstances(ids)
		tr.SetOrder(Order{Service: "s", To: "v2", FinishBy: 12 * time.Second, Version: 5}, start)
		for range attempts {
			c, to := tr.Choose("s", start)
			if c != NewBuild {
				to = "v1"
			} else {
				sent++
			}
			tr.Sent("s", to, start)
		}
	}
	const most = instances*attempts*8/100 + 25
	if sent > most || sent < most*9/10 {
		t.Errorf("requests to the new build: got %d, want %d to %d", sent, most*9/10, most)
	}
}

// TestReportBound guards against a report that grows with the instances and the routes that are known.
func TestReportBound(t *testing.T) {
	now := time.Unix(1000, 0)
	tr := New(Settings{Share: 0.1, Slack: 50}, "10.0.0.1:7000", now)
	tr.SetOrder(Order{Service: "s", To: "v2", FinishBy: 12 * time.Second, Version: 5}, now)
	for i := range 3 * maxInstances {
		e := Evidence{Service: "s", To: "v2", Version: 5, Instances: []instanceReport{{Instance: ident.Instance(fmt.Sprint("other", i)), Sent: 10}}}
		for r := range 3 * maxRoutes {
			e.Instances[0].Routes = append(e.Instances[0].Routes, routeReport{fmt.Sprint("route", r), counts{10, 1, 1}, counts{10, 1, 1, 999}})
		}
		tr.Merge([]Evidence{e}, now)
	}
	for r := range 3 * maxRoutes {
		tr.Observe("s", fmt.Sprint("own", r), "v2", false, time.Second, now)
	}
	report := tr.Report(now)
	if got := len(report[0].Instances); got != maxTold+1 {
		t.Errorf("instances in a report: got %d, want %d", got, maxTold+1)
	}
	for _, r := range report[0].Instances {
		if len(r.Routes) > maxRoutes {
			t.Errorf("routes of %s: got %d, want at most %d", r.Instance, len(r.Routes), maxRoutes)
		}
	}
	if got, most := tr.services["s"].delivery.runs, maxInstances; len(got) > most {
		t.Errorf("runs kept: got %d, want at most %d", len(got), most)
	}
}

// FuzzEvidence checks that odd evidence neither fails the digest that carries it, nor panics, nor leaves counters that
// do not add up, and that what is passed on of it decodes to the same.
func FuzzEvidence(f *testing.F) {
	f.Add([]byte(`{"Service":"s","To":"v2","Version":5,"Age":"1s","Instances":[{"Instance":"a","Started":1,"Sent":9,"Routes":[{"Route":"r","New":[3,1,1,0],"Former":[6,0,0,99]}]}]}`))
	f.Add([]byte(`{"Service":"s","To":"v2","Version":5,"RolledBack":true,"Instances":"odd","Other":[1]}`))
	f.Add([]byte(`{"Service":"s","To":"v2","Version":5,"Instances":[{"Instance":"a","Sent":-1,"Routes":[{"New":[1,2],"Former":[-3]}]}]}`))
	f.Add([]byte(`{"Service":"s","To":"v2","Version":18446744073709551615,"Age":"99999h"}`))
	f.Add([]byte(`[null,7]`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var e Evidence
		if !json.Valid(b) {
			return
		}
		if err := json.Unmarshal(b, &e); err != nil {
			t.Fatalf("decode %s: got %v, want no error", b, err)
		}
		now := time.Unix(1000, 0)
		tr := New(Settings{Share: 0.1, Slack: 50}, "i", now)
		tr.SetOrder(Order{Service: "s", To: "v2", FinishBy: 12 * time.Second, Version: 5}, now)
		tr.Merge([]Evidence{e, e}, now)
		tr.Choose("s", now)
		tr.Writes(now, func(ident.Service, ident.Build) int { return 0 })
		known := tr.services["s"].delivery.known.all
		if !known.New.valid() || !known.Former.valid() {
			t.Errorf("sums after %s: got %v, want valid ones", b, known)
		}
		report, err := json.Marshal(tr.Report(now))
		if err != nil {
			t.Fatalf("encode: got %v, want no error", err)
		}
		var back []Evidence
		if err := json.Unmarshal(report, &back); err != nil || len(back) != 1 {
			t.Errorf("own report %s: got %v, want to decode it", report, err)
		}
	})
}

// TestOddEvidence guards against a verdict that is lost, and a digest that is refused, because of a field of another
// form, as a later build of this program may send.
func TestOddEvidence(t *testing.T) {
	var got []Evidence
	text := `[{"Service":"s","To":"v2","Version":5,"RolledBack":true,"Age":7,"Instances":{}},{"Service":[]},{"Service":"t","To":"v3","Version":6,"Later":{}}]`
	if err := json.Unmarshal([]byte(text), &got); err != nil {
		t.Fatalf("decode: got %v, want no error", err)
	}
	want := []Evidence{{Service: "s", To: "v2", Version: 5, RolledBack: true}, {}, {Service: "t", To: "v3", Version: 6}}
	if g, w := fmt.Sprint(got), fmt.Sprint(want); g != w {
		t.Errorf("evidence: got %s, want %s", g, w)
	}
}

// TestRuns guards against counters of an instance that are lost when it starts again, and against own counters that come
// back from others and count twice.
func TestRuns(t *testing.T) {
	now := time.Unix(1000, 0)
	tr := New(Settings{Share: 0.1, Slack: 50}, "i", now)
	tr.SetOrder(Order{Service: "s", To: "v2", FinishBy: 12 * time.Second, Version: 5}, now)
	tr.Observe("s", "r", "v2", false, time.Second, now)
	own := tr.Report(now)
	route := []routeReport{{Route: "r", New: counts{2}}}
	for _, started := range []int64{1, 2} {
		tr.Merge([]Evidence{{Service: "s", To: "v2", Version: 5, Instances: []instanceReport{{Instance: "a", Started: started, Routes: route}}}}, now)
	}
	tr.Merge(own, now)
	if got, want := tr.Views(now)[0].New, 1+2+2; got != want {
		t.Errorf("answers of the new build: got %d, want %d", got, want)
	}
	if got, want := len(tr.services["s"].delivery.runs), 3; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}
