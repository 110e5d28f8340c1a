package intent

import (
	"encoding/hex"
	"fmt"
	"math"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/unit"
)

// Limits of a document.
const (
	maxOperators   = 500
	maxWorkspaces  = 20_000
	maxServices    = 1_000
	maxUpstreams   = 30_000
	maxRules       = 2_000
	maxPlacements  = 2_000
	maxKeys        = 16 // key hashes of one operator or workspace
	maxModels      = 64 // models of one upstream
	maxSlots       = 10_000
	maxCopies      = 10_000
	maxConcurrent  = 1_000_000
	maxRate        = 1e9 // tokens a second
	maxShare       = 1e6
	maxPathBytes   = 1_024
	maxNoteBytes   = 4_096
	maxDuration    = time.Hour
	keyHashBytes   = 32
	maxPort        = 65_535
	maxProblems    = 1_000
	allowedName    = "allowed are 1 to 128 letters, digits and . _ : / @ + -"
	allowedMethods = "allowed are GET, HEAD, POST, PUT, PATCH, DELETE and OPTIONS"
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9._:/@+-]{1,128}$`)
	methods     = []string{"", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
	priorities  = []configuration.Priority{"", configuration.Urgent, configuration.Normal, configuration.Batch}
)

// checker collects the problems of one document.
type checker struct {
	problems   []Problem
	workspaces map[ident.Workspace]bool
	services   map[ident.Service]configuration.Kind
	models     map[string]bool
	domains    map[ident.Domain]bool
	keys       map[string]string // path of the owner of each key hash
}

// Check returns the problems of doc, at most 1,000, or nil if there are none.
func Check(doc configuration.Document) []Problem {
	c := &checker{
		workspaces: make(map[ident.Workspace]bool),
		services:   make(map[ident.Service]configuration.Kind),
		models:     make(map[string]bool),
		domains:    make(map[ident.Domain]bool),
		keys:       make(map[string]string),
	}
	c.index(doc)
	c.counts(doc)
	checkNames(c, "Operators", doc.Operators, operatorName, c.operator)
	checkNames(c, "Workspaces", doc.Workspaces, workspaceName, c.workspace)
	checkNames(c, "Services", doc.Services, serviceName, c.service)
	checkNames(c, "Upstreams", doc.Upstreams, upstreamName, c.upstream)
	checkNames(c, "Rules", doc.Rules, ruleName, c.rule)
	checkNames(c, "Placements", doc.Placements, configuration.Placement.Name, c.placement)
	return c.problems
}

func (c *checker) index(doc configuration.Document) {
	for _, w := range doc.Workspaces {
		c.workspaces[w.Name] = true
	}
	for _, s := range doc.Services {
		c.services[s.Name] = s.Kind
	}
	for _, u := range doc.Upstreams {
		c.domains[u.Domain] = true
		for _, m := range u.Models {
			c.models[m] = true
		}
	}
}

func (c *checker) addf(path, format string, args ...any) {
	if len(c.problems) < maxProblems {
		c.problems = append(c.problems, Problem{path, fmt.Sprintf(format, args...)})
	}
}

func (c *checker) counts(doc configuration.Document) {
	c.count("Operators", len(doc.Operators), maxOperators)
	c.count("Workspaces", len(doc.Workspaces), maxWorkspaces)
	c.count("Services", len(doc.Services), maxServices)
	c.count("Upstreams", len(doc.Upstreams), maxUpstreams)
	c.count("Rules", len(doc.Rules), maxRules)
	c.count("Placements", len(doc.Placements), maxPlacements)
}

func (c *checker) count(path string, n, limit int) {
	if n > limit {
		c.addf(path, "has %d entries; allowed are at most %d", n, limit)
	}
}

func checkNames[T any](c *checker, part string, items []T, name func(T) string, check func(path string, item T)) {
	seen := make(map[string]bool, len(items))
	for _, item := range items {
		n := name(item)
		path := part + "." + n
		if seen[n] {
			c.addf(path, "is listed more than once; allowed is once")
		}
		seen[n] = true
		if part != "Placements" {
			c.name(path, n)
		}
		check(path, item)
	}
}

func (c *checker) name(path, n string) {
	if !namePattern.MatchString(n) {
		c.addf(path, "the name %q is malformed; %s", n, allowedName)
	}
}

// keyHashes checks a list of key hashes. Its problems never contain an entry, since
// an operator may have entered a secret key in place of its hash.
func (c *checker) keyHashes(path string, hashes []string) {
	path += ".KeyHashes"
	c.count(path, len(hashes), maxKeys)
	for i, h := range hashes {
		raw, err := hex.DecodeString(h)
		if err != nil || len(raw) != keyHashBytes || h != strings.ToLower(h) {
			c.addf(path, "entry %d is not a key hash; allowed is SHA-256 in 64 lower-case hexadecimal digits", i+1)
			continue
		}
		if at, ok := c.keys[h]; ok {
			c.addf(path, "a key hash is also listed in %s; allowed is one owner per key", at)
		}
		c.keys[h] = path
	}
}

func (c *checker) operator(path string, o configuration.Operator) {
	c.keyHashes(path, o.KeyHashes)
}

func (c *checker) workspace(path string, w configuration.Workspace) {
	c.keyHashes(path, w.KeyHashes)
	c.number(path+".Share", w.Share, maxShare)
	c.number(path+".MaxConcurrent", float64(w.MaxConcurrent), maxConcurrent)
	c.number(path+".TokensPerSecond", w.TokensPerSecond, maxRate)
}

func (c *checker) service(path string, s configuration.Service) {
	if s.Kind != configuration.Model && s.Kind != configuration.Plain {
		c.addf(path+".Kind", "is %q; allowed are Model and Plain", s.Kind)
	}
	if s.StatusPath != "" && s.Kind == configuration.Model {
		c.addf(path+".StatusPath", "is set on a model service; it is allowed on plain services only")
	}
	c.path(path+".StatusPath", s.StatusPath)
	c.duration(path+".Timeout", s.Timeout)
}

func (c *checker) upstream(path string, u configuration.Upstream) {
	kind, ok := c.services[u.Service]
	if !ok {
		c.addf(path+".Service", "%q is unknown; allowed are names of services", u.Service)
	}
	c.address(path+".Address", u.Address)
	c.name(path+".Domain", string(u.Domain))
	if kind == configuration.Model && len(u.Models) == 0 {
		c.addf(path+".Models", "is empty; allowed are 1 to %d models on an engine", maxModels)
	}
	if kind == configuration.Plain && len(u.Models) > 0 {
		c.addf(path+".Models", "is set on an upstream of a plain service; it is allowed on engines only")
	}
	c.count(path+".Models", len(u.Models), maxModels)
	for _, m := range u.Models {
		c.name(path+".Models", m)
	}
	c.number(path+".Slots", float64(u.Slots), maxSlots)
}

func (c *checker) rule(path string, r configuration.Rule) {
	if r.Workspace != "" && !c.workspaces[r.Workspace] {
		c.addf(path+".Workspace", "%q is unknown; allowed are names of workspaces", r.Workspace)
	}
	if _, ok := c.services[r.Service]; r.Service != "" && !ok {
		c.addf(path+".Service", "%q is unknown; allowed are names of services", r.Service)
	}
	if !slices.Contains(methods, r.Method) {
		c.addf(path+".Method", "is %q; %s", r.Method, allowedMethods)
	}
	if !slices.Contains(priorities, r.Priority) {
		c.addf(path+".Priority", "is %q; allowed are Urgent, Normal and Batch", r.Priority)
	}
	if r.Once && r.Repeatable {
		c.addf(path+".Once", "is set together with Repeatable; allowed is one of the two")
	}
	c.path(path+".PathPrefix", r.PathPrefix)
	c.duration(path+".Deadline", r.Deadline)
}

func (c *checker) placement(path string, p configuration.Placement) {
	c.name(path+".Model", p.Model)
	if !c.models[p.Model] {
		c.addf(path+".Model", "%q is unknown; allowed are models that an engine lists", p.Model)
	}
	for _, n := range []string{p.Version, p.Adapter} {
		if n != "" {
			c.name(path, n)
		}
	}
	if p.Domain != "" && !c.domains[p.Domain] {
		c.addf(path+".Domain", "%q is unknown; allowed are failure domains of upstreams", p.Domain)
	}
	c.number(path+".Copies", float64(p.Copies), maxCopies)
}

func (c *checker) number(path string, v, limit float64) {
	if math.IsNaN(v) || v < 0 || v > limit {
		c.addf(path, "is %v; allowed are 0 to %v", v, limit)
	}
}

func (c *checker) duration(path string, d unit.Duration) {
	if d < 0 || d.Std() > maxDuration {
		c.addf(path, "is %v; allowed are 0s to %v", d.Std(), maxDuration)
	}
}

func (c *checker) path(path, p string) {
	if p == "" {
		return
	}
	if !strings.HasPrefix(p, "/") || len(p) > maxPathBytes {
		c.addf(path, "is %q; allowed are paths that start with / and have at most %d bytes", p, maxPathBytes)
	}
}

func (c *checker) address(path, address string) {
	host, port, err := net.SplitHostPort(address)
	n, perr := strconv.Atoi(port)
	if err != nil || perr != nil || host == "" || n < 1 || n > maxPort {
		c.addf(path, "is %q; allowed is host:port with a port from 1 to %d", address, maxPort)
	}
}
