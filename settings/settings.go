// Package settings reads and checks the settings file of a daemon.
//
// The file is JSON in Pascal case. Unknown fields, wrong units, clashing
// addresses and missing values are refused together, each with its path and
// what is allowed there. Secrets come from files or the environment and are
// never printed.
package settings

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"reflect"
	"slices"

	"crocuslug/ident"
	"crocuslug/unit"
)

// Settings are all settings of a daemon.
type Settings struct {
	Name     string       // name of the instance's place; a restart under it is a new instance
	Domain   ident.Domain // failure domain of the instance
	Listen   string       // host:port for callers and operators
	PeerAddr string       // host:port for other instances
	Public   string       `json:",omitempty"` // host:port under which callers reach it; Listen if empty
	Secret   Secret       // shared by all instances
	Operator Secret       // bearer key of the first operator, until operators are configured
	Platform Platform
	Peers    []Peer        `json:",omitempty"` // known from the start, beside the instance list
	Load     Load          `json:",omitempty"`
	Limits   Limits        `json:",omitempty"`
	Actions  Actions       `json:",omitempty"` // the same at all instances
	Resume   Resume        `json:",omitempty"`
	Trace    Trace         `json:",omitempty"`
	LogLevel string        `json:",omitempty"` // debug, info, warn or error; info if empty
	Leave    unit.Duration `json:",omitempty"` // longest graceful shutdown; 10m if 0
}

// Secret names where a secret is kept. One of the two is set.
type Secret struct {
	File        string `json:",omitempty"`
	Environment string `json:",omitempty"`
}

// Platform says where the platform's services listen.
type Platform struct {
	KeyValue     string // host:port of the key-value service
	InstanceList string `json:",omitempty"` // host:port of the instance list
	ReadsPerSec  int    `json:",omitempty"` // budget of this instance; default if 0
	WritesPerSec int    `json:",omitempty"`
	// Budget of this instance for the claims of actions, beside the above;
	// default if 0.
	ActionReadsPerSec  int `json:",omitempty"`
	ActionWritesPerSec int `json:",omitempty"`
}

// Actions sets what is kept of actions that run at most once. All instances
// need the same.
type Actions struct {
	Buckets   int           `json:",omitempty"` // records that they are spread over; default if 0
	Keys      int           `json:",omitempty"` // kept in one bucket; default if 0
	Retention unit.Duration `json:",omitempty"` // age up to which a key is accepted; default if 0
	DatedKeys bool          `json:",omitempty"` // refuses keys without a time of issue
}

// Peer is another instance.
type Peer struct {
	Instance ident.Instance
	Domain   ident.Domain
	Address  string // host:port for callers
	PeerAddr string // host:port for instances
}

// Load sets how upstreams are chosen and work is admitted.
type Load struct {
	QueueLength        int           `json:",omitempty"` // requests that wait at most; default if 0
	QueueWait          unit.Duration `json:",omitempty"` // longest wait of a request without a deadline
	UrgentShare        float64       `json:",omitempty"` // share of the slots of the failure domain that only urgent work may take; 0.03 if 0
	RetryShare         float64       `json:",omitempty"` // retries as a share of requests; default if 0
	SubsetSize         int           `json:",omitempty"` // engines whose load is asked for
	PollInterval       unit.Duration `json:",omitempty"` // between two requests to an engine for its load; default if 0
	PollBytesPerSecond int           `json:",omitempty"` // bytes that all of them may take, which lengthens the interval; default if 0
}

// Limits bound what callers may send.
type Limits struct {
	BodyBytes   int           `json:",omitempty"`
	MaxTokens   int           `json:",omitempty"` // of one answer
	Connections int           `json:",omitempty"`
	WriteLimit  unit.Duration `json:",omitempty"` // time limit of one write to a caller
}

// Resume sets how losses are found. Shorter limits resume sooner and cost more
// work when an engine was only slow.
type Resume struct {
	GapFloor     unit.Duration `json:",omitempty"`
	ProbeLimit   unit.Duration `json:",omitempty"`
	CallerLimit  unit.Duration `json:",omitempty"` // how long a generation goes on without its caller
	ReplicaLimit unit.Duration `json:",omitempty"`
}

// Trace says where spans go.
type Trace struct {
	Endpoint string  `json:",omitempty"` // host:port of an OTLP receiver over HTTP
	File     string  `json:",omitempty"` // path, or "stdout"; used if Endpoint is empty
	Share    float64 `json:",omitempty"` // share of requests that are traced; 0 means none unless the caller says so
}

// Problem is one thing wrong with settings.
type Problem struct {
	Path string // of the field
	Text string // what is allowed
}

// String returns the path, unless the whole file is meant, and the text.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Text
	}
	return p.Path + ": " + p.Text
}

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// Read reads the settings in file. Problems in its content are returned
// together; the error is of reading the file.
func Read(file string) (Settings, []Problem, error) {
	return readFile(file, Settings.check)
}

// Parse reads settings and returns all problems in them, by path. Texts of
// problems hold no values of secrets.
func Parse(b []byte) (Settings, []Problem) {
	return parse(b, Settings.check)
}

// readFile reads settings of any kind.
func readFile[T any](file string, check func(T) []Problem) (T, []Problem, error) {
	var cfg T
	f, err := os.Open(file)
	if err != nil {
		return cfg, nil, err
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return cfg, nil, err
	}
	cfg, problems := parse(b, check)
	return cfg, problems, nil
}

// parse reads settings of any kind and adds what check finds.
func parse[T any](b []byte, check func(T) []Problem) (T, []Problem) {
	var cfg T
	if len(b) > maxFileBytes {
		return cfg, []Problem{{"", fmt.Sprintf("want at most %d bytes", maxFileBytes)}}
	}
	var raw json.RawMessage
	if err := json.Unmarshal(b, &raw); err != nil {
		return cfg, []Problem{syntax(b, err)}
	}
	var r reader
	r.fill(reflect.ValueOf(&cfg).Elem(), raw, "")
	for _, p := range check(cfg) {
		if !r.faulty(p.Path) {
			r.problems = append(r.problems, p)
		}
	}
	slices.SortStableFunc(r.problems, func(a, b Problem) int { return cmp.Compare(a.Path, b.Path) })
	return cfg, r.problems
}

// levels are the values of LogLevel.
var levels = []string{"", "debug", "info", "warn", "error"}

func (cfg Settings) check() []Problem {
	var out []Problem
	bad := func(path, text string) { out = append(out, Problem{path, text}) }
	if cfg.Name == "" {
		bad("Name", "want the name of the instance's place")
	}
	if cfg.Domain == "" {
		bad("Domain", "want the failure domain of the instance")
	}
	cfg.checkAddresses(bad)
	if cfg.Secret == (Secret{}) {
		bad("Secret", "want File or Environment")
	}
	checkSecret(bad, "Secret", cfg.Secret)
	checkSecret(bad, "Operator", cfg.Operator)
	checkNumbers(bad, cfg)
	if !slices.Contains(levels, cfg.LogLevel) {
		bad("LogLevel", "want debug, info, warn or error")
	}
	return out
}

func checkSecret(bad func(path, text string), path string, s Secret) {
	if s.File != "" && s.Environment != "" {
		bad(path, "want File or Environment, not both")
	}
}

func checkNumbers(bad func(path, text string), cfg Settings) {
	for _, n := range []struct {
		path string
		v    int
	}{
		{"Platform.ReadsPerSec", cfg.Platform.ReadsPerSec},
		{"Platform.WritesPerSec", cfg.Platform.WritesPerSec},
		{"Platform.ActionReadsPerSec", cfg.Platform.ActionReadsPerSec},
		{"Platform.ActionWritesPerSec", cfg.Platform.ActionWritesPerSec},
		{"Actions.Buckets", cfg.Actions.Buckets},
		{"Actions.Keys", cfg.Actions.Keys},
		{"Load.QueueLength", cfg.Load.QueueLength},
		{"Load.SubsetSize", cfg.Load.SubsetSize},
		{"Load.PollBytesPerSecond", cfg.Load.PollBytesPerSecond},
		{"Limits.BodyBytes", cfg.Limits.BodyBytes},
		{"Limits.MaxTokens", cfg.Limits.MaxTokens},
		{"Limits.Connections", cfg.Limits.Connections},
	} {
		if n.v < 0 {
			bad(n.path, "want no negative number")
		}
	}
	for _, n := range []struct {
		path string
		v    float64
	}{{"Trace.Share", cfg.Trace.Share}, {"Load.RetryShare", cfg.Load.RetryShare}, {"Load.UrgentShare", cfg.Load.UrgentShare}} {
		if n.v < 0 || n.v > 1 {
			bad(n.path, "want a share from 0 to 1")
		}
	}
}

// Value returns the secret itself, or nil if none is named. It returns an error
// if the file or variable cannot be read or is empty.
func (s Secret) Value() ([]byte, error) {
	switch {
	case s.File != "":
		b, err := os.ReadFile(s.File)
		if err != nil {
			return nil, err
		}
		if b = bytes.TrimSpace(b); len(b) == 0 {
			return nil, fmt.Errorf("%s is empty", s.File)
		}
		return b, nil
	case s.Environment != "":
		v := os.Getenv(s.Environment)
		if v == "" {
			return nil, fmt.Errorf("environment variable %s is not set", s.Environment)
		}
		return []byte(v), nil
	}
	return nil, nil
}
