// Package settings reads and checks the settings file of a daemon.
//
// The file is JSON with field names in Pascal case. Unknown fields, wrong
// units, conflicting addresses and missing values are reported together, each
// with its path and the values that are allowed there. Secrets are read from
// files or the environment and are never printed.
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

// Settings holds all settings of a daemon.
type Settings struct {
	Name     string       // stable name across restarts; each start under it is a new instance
	Domain   ident.Domain // failure domain of the instance
	Listen   string       // host:port for callers and operators
	PeerAddr string       // host:port for other instances
	Public   string       `json:",omitempty"` // host:port at which callers reach the instance; Listen if empty
	Secret   Secret       // shared by all instances
	Operator Secret       // bearer key of the first operator, until operators are configured
	Platform Platform
	Peers    []Peer        `json:",omitempty"` // instances that are known at the start, besides those of the instance list
	Load     Load          `json:",omitempty"`
	Limits   Limits        `json:",omitempty"`
	Actions  Actions       `json:",omitempty"` // must be the same at all instances
	Resume   Resume        `json:",omitempty"`
	Trace    Trace         `json:",omitempty"`
	LogLevel string        `json:",omitempty"` // debug, info, warn or error; info if empty
	Leave    unit.Duration `json:",omitempty"` // longest graceful shutdown; 10m if 0
}

// Secret names the source of a secret. At most one of the fields is set.
type Secret struct {
	File        string `json:",omitempty"` // path of a file
	Environment string `json:",omitempty"` // name of an environment variable
}

// Platform holds the addresses of the platform's services and the budgets of
// calls to them.
type Platform struct {
	KeyValue     string // host:port of the key-value service
	InstanceList string `json:",omitempty"` // host:port of the instance list
	ReadsPerSec  int    `json:",omitempty"` // budget of this instance; default if 0
	WritesPerSec int    `json:",omitempty"` // budget of this instance; default if 0
	// Separate budget of this instance for the claims of actions, in addition
	// to the two above; default if 0.
	ActionReadsPerSec  int `json:",omitempty"`
	ActionWritesPerSec int `json:",omitempty"`
}

// Actions sets how the idempotency keys of actions that run at most once are
// stored. All instances need the same values.
type Actions struct {
	Buckets   int           `json:",omitempty"` // number of records that the keys are spread over; default if 0
	Keys      int           `json:",omitempty"` // largest number of keys in one bucket; default if 0
	Retention unit.Duration `json:",omitempty"` // age up to which a key is accepted; default if 0
	DatedKeys bool          `json:",omitempty"` // whether keys without a time of issue are refused
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
	QueueLength        int           `json:",omitempty"` // largest number of waiting requests; default if 0
	QueueWait          unit.Duration `json:",omitempty"` // longest wait of a request without a deadline
	UrgentShare        float64       `json:",omitempty"` // share of the failure domain's slots that is reserved for urgent work; 0.03 if 0
	RetryShare         float64       `json:",omitempty"` // largest ratio of retries to requests; default if 0
	SubsetSize         int           `json:",omitempty"` // number of engines whose load is polled
	PollInterval       unit.Duration `json:",omitempty"` // between two polls of an engine's load; default if 0
	PollBytesPerSecond int           `json:",omitempty"` // limit of the bytes of all polls; the interval grows to keep it; default if 0
}

// Limits bound what callers may send.
type Limits struct {
	BodyBytes   int           `json:",omitempty"`
	BodyMemory  int           `json:",omitempty"` // bytes of all requests that are read or answered
	MaxTokens   int           `json:",omitempty"` // in one answer
	Connections int           `json:",omitempty"`
	WriteLimit  unit.Duration `json:",omitempty"` // time limit of one write to a caller
}

// Resume sets how lost generations are detected. With shorter limits a
// generation resumes sooner, but more work is repeated when an engine was only
// slow.
type Resume struct {
	GapFloor     unit.Duration `json:",omitempty"`
	ProbeLimit   unit.Duration `json:",omitempty"`
	CallerLimit  unit.Duration `json:",omitempty"` // how long a generation continues after its caller disconnected
	ReplicaLimit unit.Duration `json:",omitempty"`
}

// Trace sets where spans are exported.
type Trace struct {
	Endpoint string  `json:",omitempty"` // host:port of an OTLP receiver over HTTP
	File     string  `json:",omitempty"` // path, or "stdout"; used if Endpoint is empty
	Share    float64 `json:",omitempty"` // share of requests that are traced, besides those that the caller marks as sampled
}

// Problem is one error in a settings file.
type Problem struct {
	Path string // path of the field; "" means the whole file
	Text string // the values that are allowed
}

// String returns the path, if there is one, and the text.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Text
	}
	return p.Path + ": " + p.Text
}

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// Read reads settings from file. It returns all problems in the content
// together, and an error if the file cannot be read.
func Read(file string) (Settings, []Problem, error) {
	return readFile(file, Settings.check)
}

// Parse parses settings and returns all problems in them, sorted by path. The
// texts of problems contain no values of secrets.
func Parse(b []byte) (Settings, []Problem) {
	return parse(b, Settings.check)
}

// readFile reads settings of type T from file.
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

// parse parses settings of type T and adds the problems that check finds.
func parse[T any](b []byte, check func(T) []Problem) (T, []Problem) {
	var cfg T
	if len(b) > maxFileBytes {
		return cfg, []Problem{{"", fmt.Sprintf("want at most %d bytes", maxFileBytes)}}
	}
	var raw json.RawMessage
	if err := json.Unmarshal(b, &raw); err != nil {
		return cfg, []Problem{syntaxProblem(b, err)}
	}
	var r reader
	r.fill(reflect.ValueOf(&cfg).Elem(), raw, "")
	for _, p := range check(cfg) {
		if !r.hasProblemAt(p.Path) {
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
	addProblem := func(path, text string) { out = append(out, Problem{path, text}) }
	if cfg.Name == "" {
		addProblem("Name", "want a name that stays the same across restarts")
	}
	if cfg.Domain == "" {
		addProblem("Domain", "want the failure domain of the instance")
	}
	cfg.checkAddresses(addProblem)
	if cfg.Secret == (Secret{}) {
		addProblem("Secret", "want File or Environment")
	}
	checkSecret(addProblem, "Secret", cfg.Secret)
	checkSecret(addProblem, "Operator", cfg.Operator)
	checkNumbers(addProblem, cfg)
	if !slices.Contains(levels, cfg.LogLevel) {
		addProblem("LogLevel", "want debug, info, warn or error")
	}
	return out
}

func checkSecret(addProblem func(path, text string), path string, s Secret) {
	if s.File != "" && s.Environment != "" {
		addProblem(path, "want File or Environment, not both")
	}
}

func checkNumbers(addProblem func(path, text string), cfg Settings) {
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
		{"Limits.BodyMemory", cfg.Limits.BodyMemory},
		{"Limits.MaxTokens", cfg.Limits.MaxTokens},
		{"Limits.Connections", cfg.Limits.Connections},
	} {
		if n.v < 0 {
			addProblem(n.path, "want no negative number")
		}
	}
	for _, n := range []struct {
		path string
		v    float64
	}{{"Trace.Share", cfg.Trace.Share}, {"Load.RetryShare", cfg.Load.RetryShare}, {"Load.UrgentShare", cfg.Load.UrgentShare}} {
		if n.v < 0 || n.v > 1 {
			addProblem(n.path, "want a share from 0 to 1")
		}
	}
}

// Value returns the secret itself, or nil if no source is set. It returns an
// error if the file or variable cannot be read or is empty.
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
