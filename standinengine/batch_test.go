package standinengine

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"crocuslug/prefix"
)

// script applies the commands of a file to a batch.
type script struct {
	now      time.Time
	b        *batch
	counters Counters
}

const stepTime = 10 * time.Millisecond

func TestBatchScripts(t *testing.T) {
	names, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(names) == 0 {
		t.Fatalf("scripts: got %v, %v, want some", names, err)
	}
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		s := &script{now: time.Unix(0, 0)}
		for i, line := range strings.Split(string(text), "\n") {
			if line == "" || line[0] == '#' {
				continue
			}
			command, want, checked := strings.Cut(line, " -> ")
			got := s.run(strings.Fields(command))
			if checked && got != want {
				t.Errorf("%s line %d: %s: got %q, want %q", name, i+1, command, got, want)
			}
		}
	}
}

func (s *script) run(w []string) string {
	switch w[0] {
	case "settings":
		var cfg Settings
		if err := json.Unmarshal([]byte(w[1]), &cfg); err != nil {
			return err.Error()
		}
		cfg.setDefaults()
		s.b = newBatch(&cfg, &s.counters)
	case "submit":
		if s.b.full() {
			return "full"
		}
		s.b.submit(s.now, parseStream(w[1], w[2:]))
	case "step":
		n, _ := strconv.Atoi(w[1])
		for range n {
			s.now = s.now.Add(stepTime)
			s.b.step(s.now)
		}
	case "cancel":
		s.b.cancel(s.b.streams[w[1]])
	case "detach":
		s.b.detach(s.now, s.b.streams[w[1]])
	case "attach":
		s.b.streams[w[1]].attached++
	case "slow":
		s.b.slowdown, _ = strconv.ParseFloat(w[1], 64)
	case "counters":
		c := s.counters
		return fmt.Sprintf("decoded %d prefill %d cancelled %d", c.Decoded, c.PrefillTokens, c.Cancelled)
	default:
		return "no such command"
	}
	return s.show()
}

func parseStream(id string, args []string) *stream {
	v := make(map[string]int)
	for _, a := range args {
		name, value, _ := strings.Cut(a, "=")
		v[name], _ = strconv.Atoi(value)
	}
	return &stream{
		id: id, priority: v["priority"], base: v["base"], produced: v["base"], limit: v["max"],
		bytes: v["prompt"], blocks: prefix.Blocks(strings.Repeat("x", v["prompt"])),
	}
}

// show lists the running streams with their number of tokens, and the queued
// streams in order of arrival.
func (s *script) show() string {
	out := []string{"running"}
	for _, r := range s.b.running {
		out = append(out, fmt.Sprintf("%s:%d", r.id, r.produced))
	}
	out = append(out, "waiting")
	for seq := range s.b.seq + 1 {
		for _, w := range s.b.waiting {
			if w.seq == seq {
				out = append(out, w.id)
			}
		}
	}
	return strings.Join(out, " ")
}
