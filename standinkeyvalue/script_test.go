package standinkeyvalue_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/zeebo/errs"

	"crocuslug/keyvalue"
	"crocuslug/standinkeyvalue"
	"crocuslug/store"
	"crocuslug/timer"
)

// bench is a store with one way to call it: directly in the process, or over
// HTTP with the platform's client.
type bench struct {
	clock *timer.Service
	store *standinkeyvalue.Store
	port  store.Store
}

func newStoreBench() *bench {
	clock := timer.NewVirtual(time.Unix(1000, 0))
	store := standinkeyvalue.New(clock)
	return &bench{clock, store, store.Port()}
}

func newHTTPBench(t *testing.T) *bench {
	t.Helper()
	b := newStoreBench()
	srv := standinkeyvalue.NewServer(b.store, "", nil)
	if err := srv.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Stop)
	c := keyvalue.New(keyvalue.Settings{Address: srv.Addr(), Burst: 1 << 20}, b.clock)
	t.Cleanup(c.Close)
	b.port = c.Store()
	return b
}

func TestScripts(t *testing.T) {
	names, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(names) == 0 {
		t.Fatalf("scripts: got %v, %v, want some", names, err)
	}
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, overHTTP := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/http=%v", filepath.Base(name), overHTTP), func(t *testing.T) {
				b := newStoreBench()
				if overHTTP {
					b = newHTTPBench(t)
				}
				for i, line := range strings.Split(string(text), "\n") {
					if line == "" || line[0] == '#' {
						continue
					}
					command, want, _ := strings.Cut(line, " ->")
					if got := b.run(command); got != strings.TrimSpace(want) {
						t.Errorf("line %d: %s: got %q, want %q", i+1, command, got, strings.TrimSpace(want))
					}
				}
			})
		}
	}
}

// run executes one command of a script and returns its result as text.
func (b *bench) run(command string) string {
	ctx := context.Background()
	w := append(strings.Fields(command), "", "", "")
	number := func(i int) uint64 {
		n, _ := strconv.ParseUint(w[i], 10, 64)
		return n
	}
	switch w[0] {
	case "put":
		v, err := b.port.Put(ctx, w[1], []byte(w[2]), store.Version(number(3)), store.Lease(number(4)))
		return result(strconv.Itoa(int(v)), err)
	case "get":
		e, err := b.port.Get(ctx, w[1])
		return result(fmt.Sprintf("%s@%d", e.Value, e.Version), err)
	case "delete":
		return result("ok", b.port.Delete(ctx, w[1], store.Version(number(2))))
	case "list":
		entries, err := b.port.List(ctx, w[1])
		return result(show(entries), err)
	case "watch":
		entries, now, err := b.port.Watch(ctx, w[1], store.Version(number(2)))
		return strings.TrimSpace(result(show(entries), err) + fmt.Sprintf(" now %d", now))
	case "grant":
		ttl, _ := time.ParseDuration(w[1])
		l, err := b.port.Grant(ctx, ttl)
		return result(strconv.Itoa(int(l)), err)
	case "renew":
		return result("ok", b.port.Renew(ctx, store.Lease(number(1))))
	case "revoke":
		return result("ok", b.port.Revoke(ctx, store.Lease(number(1))))
	case "advance":
		d, _ := time.ParseDuration(w[1])
		b.clock.Advance(d)
	case "fault":
		var f standinkeyvalue.Faults
		if err := json.Unmarshal([]byte(w[1]), &f); err != nil {
			return err.Error()
		}
		b.store.SetFaults(f)
	default:
		return "no such command"
	}
	return ""
}

func show(entries []store.Entry) string {
	var out []string
	for _, e := range entries {
		if e.Deleted {
			out = append(out, fmt.Sprintf("%s deleted@%d", e.Key, e.Version))
			continue
		}
		out = append(out, fmt.Sprintf("%s=%s@%d", e.Key, e.Value, e.Version))
	}
	return strings.Join(out, " ")
}

// result returns text if err is nil, and otherwise the name of the class of err.
func result(text string, err error) string {
	if err == nil {
		return text
	}
	for _, c := range []*errs.Class{
		&store.Unknown, &store.Absent, &store.Conflict,
		&store.TooLarge, &store.Trimmed, &store.Unavailable,
	} {
		if c.Has(err) {
			return string(*c)
		}
	}
	return err.Error()
}
