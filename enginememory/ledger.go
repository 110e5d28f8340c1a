// Package enginememory decides whether a request fits into the memory of a model engine.
//
// An engine crashes if the requests that it holds exceed its memory, so an instance counts
// the tokens of its own requests at each engine and adds those that other instances report.
// Reports are up to a few seconds old, and many instances act on the same ones. Two rules
// keep them from filling one engine together:
//
//   - Each engine is in the share of one instance of a failure domain (routing.Partition), or of
//     several that divide its memory evenly if there are more instances than engines. An
//     instance without a share in an engine uses it only while a margin of memory stays free
//     there. The margin covers the requests that other instances have probably sent since
//     their last reports: their expected number, from the rate at which streams start at the
//     service, and two standard deviations. Unless there is little load, the instances without
//     a share take turns, since all of them would choose the engines that look best at once.
//   - An instance with a share in an engine needs that margin only while the others may
//     have used the engine. Once the engine has been closed to them for longer than reports
//     take, all requests there are known, and the rest of the memory is its own.
package enginememory

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"

	"crocuslug/ident"
	"crocuslug/work"
)

// Claim names a request of this instance, or the copy of its run, in a Ledger. Its zero
// value names none.
type Claim uint64

// Kind says how much of the memory of an engine a request may use.
type Kind int

// Kinds of requests.
const (
	New      Kind = iota // starts an answer
	Continue             // continues an answer that was interrupted: needs no margin, because it cannot be refused
	Backup               // stores a copy of a run: leaves copyFreeShare of the memory to requests
)

// copyFreeShare is the fraction of the memory of an engine that copies of runs leave free.
// Otherwise copies would use the memory that runs need after a failure.
const copyFreeShare = 0.35

// marginDeviations is the number of standard deviations of the number of unreported requests
// that a margin covers in addition to their expected number.
const marginDeviations = 2

// Bounds of margins as fractions of the memory of an engine. Without them, an empty engine would
// be closed while streams start at a very high rate.
const (
	maxMargin      = 0.75 // for instances without a share in the engine
	maxShareMargin = 0.4  // for instances with a share in it
)

// Engine is an engine of the service.
type Engine struct {
	Upstream ident.Upstream
	InShare  bool // in the share of this instance
	Near     bool // in the share of an instance of this failure domain
}

// Share describes how the engines of a service are divided among the instances of a failure domain.
type Share struct {
	Holders   int // instances that have the same engines in their shares as this one; at least 1
	Instances int // all instances of this failure domain
	Rank      int // of this instance among them
}

// Site describes how much this instance knows of the others.
type Site struct {
	Live      int           // live instances, including this one
	Heard     int           // those of them whose load is known, including this one
	ReportAge time.Duration // greatest usual age of such a load
	NearAge   time.Duration // same for the instances of this failure domain
	Demand    work.Demand   // sum of the demand of the others
}

// Ledger counts the tokens of memory that requests use at the engines of one service. It has
// no lock; calls must not overlap.
type Ledger struct {
	keepShares bool    // instances without a share in an engine take turns there
	memory     int     // of one engine, in tokens
	meanTokens float64 // mean size of a request; 0 before the first one
	share      Share
	site       Site
	total      int  // tokens known to be used at all engines
	started    rate // tokens of the requests that this instance has sent
	urgent     urgency
	// untoldFactor is the number of requests of all instances divided by that of the requests of
	// instances that count the memory. The others do not tell how many they start either.
	untoldFactor float64
	engines      map[ident.Upstream]*engine
	claims       map[Claim]claimed
}

// claimed is what a Claim uses.
type claimed struct {
	upstream ident.Upstream
	tokens   int
}

// engine is the memory known to be used at one engine.
type engine struct {
	inShare  bool
	near     bool
	own      int // by requests of this instance
	peers    int // by those of other instances, as reported
	open     bool
	closedAt time.Time // when open became false
	hash     uint64    // of its name
	usedIn   int64     // last turn in which this instance used it without having it in its share
}

// NewLedger returns a Ledger without engines. With keepShares, instances keep to their shares and take turns at other
// engines once much of the memory is used; without, only margins account for requests that are not reported yet.
func NewLedger(keepShares bool) *Ledger {
	return &Ledger{keepShares: keepShares, site: Site{Live: 1, Heard: 1}, untoldFactor: 1, engines: make(map[ident.Upstream]*engine), claims: make(map[Claim]claimed)}
}

// SetEngines replaces the list of engines, each with the given memory in tokens. The claims
// on engines that remain are kept; the others end, such as those on an engine that has restarted
// and was left out of a list before.
func (l *Ledger) SetEngines(memory int, list []Engine, share Share) {
	l.memory, l.share = memory, share
	engines := make(map[ident.Upstream]*engine, len(list))
	for _, v := range list {
		e, ok := l.engines[v.Upstream]
		if !ok {
			e = &engine{open: true, hash: xxh3.HashString(string(v.Upstream))}
		}
		e.inShare, e.near = v.InShare, v.Near
		engines[v.Upstream] = e
	}
	l.engines = engines
	l.total = 0
	for _, e := range engines {
		l.total += e.own + e.peers
	}
	for c, v := range l.claims {
		if _, ok := engines[v.upstream]; !ok {
			delete(l.claims, c)
		}
	}
}

// SetSite replaces what is known of the other instances.
func (l *Ledger) SetSite(s Site, now time.Time) {
	l.site = s
	for _, e := range l.engines {
		l.update(e, now)
	}
}

// ReportPeers replaces the load that other instances report. An engine that is not in loads
// has none.
func (l *Ledger) ReportPeers(loads map[ident.Upstream]work.Load, now time.Time) {
	told, untold := len(l.claims), 0
	for u, e := range l.engines {
		n := loads[u]
		l.total -= e.peers
		e.peers = n.Tokens + int(float64(n.Untold)*l.meanTokens)
		l.total += e.peers
		told += n.Requests - n.Untold
		untold += n.Untold
	}
	l.untoldFactor = 1 + float64(untold)/float64(max(1, told))
	for _, e := range l.engines {
		l.update(e, now)
	}
}

// Take counts tokens at an engine for a claim until Release. A claim uses one engine: what
// it used before is released.
func (l *Ledger) Take(c Claim, u ident.Upstream, tokens int, now time.Time) {
	l.Release(c, now)
	e, ok := l.engines[u]
	if !ok || c == 0 {
		return
	}
	tokens = l.size(tokens)
	l.claims[c] = claimed{u, tokens}
	e.own += tokens
	l.total += tokens
	if !e.inShare {
		e.usedIn = l.turn(e, now)
	}
	l.started.add(float64(tokens), now)
	l.update(e, now)
}

// Demand returns the demand of this instance, which it tells the others.
func (l *Ledger) Demand(now time.Time) work.Demand {
	return work.Demand{
		Started: int(l.started.perSecond(now)),
		Urgent:  int(l.urgent.arrived.perSecond(now)),
		Waiting: l.urgent.waiting,
	}
}

// Release ends a claim. A claim that is not in use is ignored.
func (l *Ledger) Release(c Claim, now time.Time) {
	v, ok := l.claims[c]
	if !ok {
		return
	}
	delete(l.claims, c)
	if e, ok := l.engines[v.upstream]; ok {
		e.own -= v.tokens
		l.total -= v.tokens
		l.update(e, now)
	}
}

// sizeWeight is the weight of one request in the running mean of request sizes.
const sizeWeight = 0.02

// RecordSize adds the size of a request in tokens to the running mean. A size of 0 is ignored.
func (l *Ledger) RecordSize(tokens int) {
	if tokens <= 0 {
		return
	}
	if l.meanTokens == 0 {
		l.meanTokens = float64(tokens)
	}
	l.meanTokens += sizeWeight * (float64(tokens) - l.meanTokens)
}

// size returns the tokens of a request, or the mean if they are not known.
func (l *Ledger) size(tokens int) int {
	if tokens > 0 {
		return tokens
	}
	return int(l.meanTokens)
}

// Fits reports whether a request with the given tokens may be sent to an engine now.
func (l *Ledger) Fits(u ident.Upstream, tokens int, kind Kind, now time.Time) bool {
	e, ok := l.engines[u]
	if !ok {
		return false
	}
	tokens = l.size(tokens)
	limit := float64(l.memory)
	if kind != Continue {
		limit -= l.margin(e, now)
		switch {
		case !l.keepShares:
		case e.inShare && e.own+tokens > l.memory/max(1, l.share.Holders):
			return false
		case !e.inShare && !l.hasTurn(e, now):
			return false
		}
	}
	if kind == Backup {
		limit = min(limit, (1-copyFreeShare)*float64(l.memory))
	}
	return float64(e.own+e.peers+tokens) <= limit
}

// Fractions of the memory up to which instances without a share in an engine use it at any time, so that
// they find the prompts that it has cached. Above them, few engines look better than the others, and all
// instances would choose these at the same time.
const (
	lightUse = 1.0 / 3 // of the memory of that engine
	quietUse = 0.25    // of the memory of all engines
)

// hasTurn reports whether this instance may use an engine that is not in its share.
func (l *Ledger) hasTurn(e *engine, now time.Time) bool {
	n := l.share.Instances
	light := float64(e.own+e.peers) <= lightUse*float64(l.memory)
	switch {
	case light && !l.Busy():
		return true
	case !e.near && !light:
		return false // reports of other failure domains are too old
	case n <= 1:
		return true
	}
	turn := l.turn(e, now)
	return e.usedIn != turn && (e.hash+uint64(turn))%uint64(n) == uint64(l.share.Rank)
}

// Busy reports whether so much memory is used that instances keep to their shares.
func (l *Ledger) Busy() bool { return l.keepShares && l.Used() > quietUse }

// turn returns the number of the current turn at an engine that is not in the share of this instance. In
// each turn, one instance of a failure domain may send one request there.
func (l *Ledger) turn(e *engine, now time.Time) int64 {
	length := l.site.ReportAge
	if e.near {
		length = time.Duration(nearTurn * float64(l.site.NearAge))
	}
	return now.UnixNano() / int64(max(length, minTurn))
}

// Lengths of turns. At an engine of another failure domain a turn lasts until its request is reported.
const (
	nearTurn = 0.5 // of NearAge, so that two requests may be unreported, fewer than the margin covers
	minTurn  = 100 * time.Millisecond
)

// longestStay is the time after which the requests have mostly ended that an engine held when it was
// closed to instances without a share in it.
const longestStay = 10 * time.Second

// margin returns the tokens that must stay free at e for requests that are not known here.
func (l *Ledger) margin(e *engine, now time.Time) float64 {
	if !e.inShare {
		return l.outsideMargin(e)
	}
	others := 0.0
	if e.open || now.Sub(e.closedAt) <= longestStay {
		others += l.unheard()
	}
	if e.open || now.Sub(e.closedAt) <= l.site.ReportAge {
		others += l.unreported(l.site.NearAge)
	}
	return min(l.spread(others), maxShareMargin*float64(l.memory))
}

// outsideMargin returns the margin at e for instances without a share in it.
func (l *Ledger) outsideMargin(e *engine) float64 {
	age := l.site.ReportAge
	if e.near || e.inShare {
		age = l.site.NearAge
	}
	return min(l.spread(l.unheard()+l.unreported(age)), maxMargin*float64(l.memory))
}

// unreported returns the expected number of requests that other instances whose load is known have
// sent to an engine within a time.
func (l *Ledger) unreported(within time.Duration) float64 {
	if len(l.engines) == 0 || l.meanTokens == 0 || l.site.Live <= 1 {
		return 0
	}
	perEngine := float64(l.site.Demand.Started) * l.untoldFactor / l.meanTokens / float64(len(l.engines))
	return perEngine * within.Seconds()
}

// unheard returns the expected number of requests at an engine of instances whose load is not
// known, if they have as many as the others.
func (l *Ledger) unheard() float64 {
	missing := l.site.Live - l.site.Heard
	if missing <= 0 || len(l.engines) == 0 || l.meanTokens == 0 {
		return 0
	}
	each := float64(l.total) / float64(max(1, l.site.Heard))
	return float64(missing) * each / l.meanTokens / float64(len(l.engines))
}

// spread returns the tokens of an expected number of requests and of marginDeviations standard
// deviations of that number, which has a Poisson distribution.
func (l *Ledger) spread(expected float64) float64 {
	return l.meanTokens * (expected + marginDeviations*math.Sqrt(expected))
}

// update notes whether e is open to instances without a share in it.
func (l *Ledger) update(e *engine, now time.Time) {
	open := float64(e.own+e.peers)+l.meanTokens+l.outsideMargin(e) <= float64(l.memory)
	if e.open && !open {
		e.closedAt = now
	}
	e.open = open
}

// Tokens returns the tokens that the requests of this instance use at an engine.
func (l *Ledger) Tokens(u ident.Upstream) int {
	if e, ok := l.engines[u]; ok {
		return e.own
	}
	return 0
}

// Used returns the fraction of the memory of all engines that is known to be used.
func (l *Ledger) Used() float64 {
	if l.memory <= 0 || len(l.engines) == 0 {
		return 0
	}
	return float64(l.total) / float64(l.memory) / float64(len(l.engines))
}
