package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/nativewire"
)

// Ranges of the values that changes of the configuration set. None of them allows less than the
// callers use.
const (
	minStreamTimeout = streamTimeout
	maxStreamTimeout = 2 * streamTimeout
	minIdleTimeout   = 2 * time.Second
	maxIdleTimeout   = 15 * time.Second
	minBodyBytes     = 1 << 10
	maxBodyBytes     = 1 << 20
	minHeaderBytes   = 4 << 10
	maxHeaderBytes   = 16 << 10
	manyRoutes       = 60 // routes that one change adds
)

// Positions of the routes that callers use in the document.
const (
	streamRoute = iota
	unsafeRoute
	safeRoute
	callerRoutes // their number
)

// change is one kind of change of the configuration.
type change func(doc *directory.Document, r *rand.Rand)

// changes lists the kinds of changes. Each leaves the requests of callers allowed.
var changes = []change{
	func(doc *directory.Document, r *rand.Rand) {
		doc.Routes[streamRoute].Timeout = randomDuration(r, minStreamTimeout, maxStreamTimeout)
	},
	func(doc *directory.Document, r *rand.Rand) {
		doc.Limits.IdleTimeout = randomDuration(r, minIdleTimeout, maxIdleTimeout)
	},
	func(doc *directory.Document, r *rand.Rand) {
		doc.Limits.BodyBytes = minBodyBytes + r.IntN(maxBodyBytes-minBodyBytes)
	},
	func(doc *directory.Document, r *rand.Rand) {
		doc.Limits.HeaderBytes = minHeaderBytes + r.IntN(maxHeaderBytes-minHeaderBytes)
	},
	func(doc *directory.Document, r *rand.Rand) {
		doc.Routes[r.IntN(callerRoutes)].Priority = r.IntN(maxPriority)
	},
	func(doc *directory.Document, r *rand.Rand) { // split: two shares of one service
		route := &doc.Routes[r.IntN(callerRoutes)]
		s := route.Services[0].Service
		route.Services = []directory.Share{{Service: s, Weight: 1 + r.IntN(maxWeight)}, {Service: s, Weight: r.IntN(maxWeight)}}
	},
	func(doc *directory.Document, _ *rand.Rand) {
		w := directory.Workspace{Name: ident.Workspace(fmt.Sprint("w", doc.Version)), Keys: []string{fmt.Sprint("key-w", doc.Version)}}
		doc.Workspaces = append(doc.Workspaces, w)
	},
	func(doc *directory.Document, _ *rand.Rand) { doc.Workspaces = doc.Workspaces[:1] },
	func(doc *directory.Document, _ *rand.Rand) {
		doc.Services = append(doc.Services, directory.Service{Name: ident.Service(fmt.Sprint("unused", doc.Version))})
	},
	func(doc *directory.Document, _ *rand.Rand) { doc.Services = doc.Services[:2] },
	func(doc *directory.Document, _ *rand.Rand) {
		for n := range manyRoutes {
			prefix := fmt.Sprintf("%s%d-%d/", manyPrefix, doc.Version, n)
			next := doc.Routes[safeRoute]
			next.Name, next.Prefix = prefix, prefix
			doc.Routes = append(doc.Routes, next)
		}
	},
	func(doc *directory.Document, _ *rand.Rand) { doc.Routes = withoutMany(doc.Routes) },
}

// Bounds of the values that changes draw.
const (
	maxPriority = 3
	maxWeight   = 10
	manyPrefix  = "/many-" // of the routes that are added many at a time
)

// withoutMany returns the routes without those that were added many at a time.
func withoutMany(routes []directory.Route) []directory.Route {
	var out []directory.Route
	for _, r := range routes {
		if !strings.HasPrefix(r.Prefix, manyPrefix) {
			out = append(out, r)
		}
	}
	return out
}

// configurationChange is a change of the configuration as planned work. Each second one is
// followed by another at once.
var configurationChange = fault{"configuration changed", true, func(ctx context.Context, s *Soak, r *rand.Rand) {
	for range 1 + r.IntN(2) {
		_ = s.changeConfiguration(ctx, changes[r.IntN(len(changes))], r) // the store may be down because of a fault
	}
}}

// changeConfiguration applies a change to the configuration and writes it. If that fails, the
// configuration stays as it was.
func (s *Soak) changeConfiguration(ctx context.Context, change change, r *rand.Rand) error {
	s.configurationMu.Lock()
	defer s.configurationMu.Unlock()
	cl := s.cluster
	before := cl.document
	cl.document = copyDocument(before)
	change(&cl.document, r)
	cl.document.Version += versionStep
	err := cl.writeConfiguration(ctx)
	if err == nil {
		return nil
	}
	cl.document = before // if only the answer was lost, the next write would conflict
	if e, err := cl.store.Get(ctx, nativewire.ConfigurationKey); err == nil {
		cl.revision = e.Version
	}
	return err
}

// versionStep is the step of the version at a change. Versions need not be consecutive.
const versionStep = 3

// copyDocument returns a copy of doc whose slices may be modified.
func copyDocument(doc directory.Document) directory.Document {
	doc.Routes = append([]directory.Route{}, doc.Routes...)
	doc.Services = append([]directory.Service{}, doc.Services...)
	doc.Workspaces = append([]directory.Workspace{}, doc.Workspaces...)
	return doc
}
