// Package pace learns how fast each upstream of a service is and how many requests it takes well.
//
// Upstreams of one service differ in speed, and some slow down long before their slots are full, so neither their
// declared slots nor fixed weights tell where a request is served soonest. A Tracker gets the time that upstreams take
// for a unit of work, a piece of a stream or a whole answer, together with the load there. Instances tell each other
// their samples, because each one alone sees a few streams of an upstream only. From the samples of the last seconds
// it derives for each upstream
//
//   - a factor, its time for a unit divided by the median of the service, which fades to 1 without samples;
//   - a limit of requests, by additive increase and multiplicative decrease (Chiu and Jain, Computer Networks and ISDN
//     Systems 17(1), 1989). It falls while the time for a unit exceeds a multiple of the least one seen at this
//     upstream and the median of the service, and rises again up to the declared slots.
//
// The limit compares an upstream with itself: one that is always slow keeps its slots and gets less work by its factor.
// It compares with the median as well, since under a load that slows all upstreams lower limits would only move the
// wait from the upstreams to the instances.
package pace

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
)

// Settings configures a Tracker. Zero fields take the defaults.
type Settings struct {
	Tolerance float64       // time for a unit, as a multiple of the least one, from which an upstream has too much work; 0 means 2.2
	MinLimit  int           // least limit; 0 means 2
	Expiry    time.Duration // age at which a sample no longer counts; 0 means 5s
	HalfLife  time.Duration // time without samples in which a factor loses half of its distance to 1; 0 means 10s
}

// Defaults of Settings.
const (
	defaultTolerance = 2.2 // a full batch of sound engines takes up to about twice the time of an empty one
	defaultMinLimit  = 2   // with one request there would be no sample of a load to compare with
	defaultExpiry    = 5 * time.Second
	defaultHalfLife  = 10 * time.Second
)

// Bounds of estimates.
const (
	maxFactor   = 8.0
	minFactor   = 0.25
	decrease    = 0.8  // of the limit or the load, in an interval with too much work
	increase    = 0.06 // of the declared slots, in an interval without: a limit of half of the slots recovers in some eight intervals
	baseDrift   = 0.01 // share by which the least time rises toward the present one in an interval, so that a lasting change is followed
	usedShare   = 0.6  // of the limit that must be in use for slowness to be put down to load
	aboveMedian = 1.3  // time for a unit, as a multiple of the median, below which an upstream is no slower than most
	maxSamples  = 32   // samples in a report
	maxUnitTime = time.Hour
)

// Sample is what one instance has seen of an upstream lately.
type Sample struct {
	Upstream ident.Upstream
	Unit     int // mean time for a unit in microseconds
	Units    int // number of units
	Load     int // requests of all instances there, as known at that time
	Age      int `json:",omitempty"` // milliseconds since its last unit
}

// Estimate is what is known of an upstream.
type Estimate struct {
	Factor float64 // time for a unit compared with the median of the service
	Limit  int     // requests that it takes well; 0 means its declared slots
}

// observed is the sum of the samples of one instance.
type observed struct {
	seconds float64 // mean time for a unit
	units   float64
	load    float64
	at      time.Time // of the last unit
}

// upstream is the state of one upstream.
type upstream struct {
	service ident.Service
	born    int64
	slots   int
	own     observed
	peers   map[ident.Instance]observed
	least   float64 // least time for a unit in seconds; 0 if there was no sample
	factor  float64
	fresh   time.Time // when the factor was derived from samples last
	limit   float64   // 0 means the declared slots
}

// Tracker holds the samples and estimates of one instance. Its methods are safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	cfg       Settings
	upstreams map[ident.Upstream]*upstream
}

// New returns a Tracker without upstreams.
func New(cfg Settings) *Tracker {
	if cfg.Tolerance <= 0 {
		cfg.Tolerance = defaultTolerance
	}
	if cfg.MinLimit <= 0 {
		cfg.MinLimit = defaultMinLimit
	}
	if cfg.Expiry <= 0 {
		cfg.Expiry = defaultExpiry
	}
	if cfg.HalfLife <= 0 {
		cfg.HalfLife = defaultHalfLife
	}
	return &Tracker{cfg: cfg, upstreams: make(map[ident.Upstream]*upstream)}
}

// SetUpstreams replaces the list of upstreams. What is known of those that have started again is forgotten.
func (t *Tracker) SetUpstreams(list []directory.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := make(map[ident.Upstream]*upstream, len(list))
	for _, d := range list {
		u := t.upstreams[d.ID]
		if u == nil || u.born != d.Born || u.service != d.Service {
			u = &upstream{service: d.Service, born: d.Born, factor: 1, peers: make(map[ident.Instance]observed)}
		}
		u.slots = d.Slots
		kept[d.ID] = u
	}
	t.upstreams = kept
}

// Observe records that an upstream took the time elapsed for n units while it had load requests.
func (t *Tracker) Observe(id ident.Upstream, n int, elapsed time.Duration, load float64, now time.Time) {
	if n <= 0 || elapsed <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	u, ok := t.upstreams[id]
	if !ok {
		return
	}
	if now.Sub(u.own.at) > t.cfg.Expiry {
		u.own = observed{}
	}
	// Older units lose weight, so that a sample follows changes within about a second of work.
	const keep = 0.9
	o := &u.own
	o.units *= math.Pow(keep, float64(n))
	w := float64(n) / (o.units + float64(n))
	o.seconds += w * (elapsed.Seconds()/float64(n) - o.seconds)
	o.load += w * (load - o.load)
	o.units += float64(n)
	o.at = now
}

// Report returns the samples of this instance that others are told, the newest first.
func (t *Tracker) Report(now time.Time) []Sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Sample
	for id, u := range t.upstreams {
		age := now.Sub(u.own.at)
		if u.own.units < 1 || age > t.cfg.Expiry {
			continue
		}
		out = append(out, Sample{
			Upstream: id, Unit: int(u.own.seconds * 1e6), Units: int(math.Ceil(u.own.units)),
			Load: int(math.Round(u.own.load)), Age: int(age.Milliseconds()),
		})
	}
	slices.SortFunc(out, func(a, b Sample) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Upstream, b.Upstream)) })
	return out[:min(len(out), maxSamples)]
}

// Merge records the samples of another instance, which replace its earlier ones. Samples with numbers that cannot be are
// ignored.
func (t *Tracker) Merge(list []Sample, from ident.Instance, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range list {
		u, ok := t.upstreams[s.Upstream]
		age := time.Duration(s.Age) * time.Millisecond
		if !ok || s.Unit <= 0 || s.Unit > int(maxUnitTime.Microseconds()) || s.Units <= 0 || s.Load < 0 || age < 0 || age > t.cfg.Expiry {
			continue
		}
		at := now.Add(-age)
		if old, ok := u.peers[from]; ok && old.at.After(at) {
			continue
		}
		u.peers[from] = observed{float64(s.Unit) / 1e6, float64(min(s.Units, maxWeight)), float64(s.Load), at}
	}
}

// maxWeight bounds the weight of the sample of one instance.
const maxWeight = 20

// Tick derives the estimates from the samples and returns them. It must be called once a second: limits change by a step
// in each call.
func (t *Tracker) Tick(now time.Time) map[ident.Upstream]Estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	type level struct{ seconds, load float64 }
	levels := make(map[ident.Upstream]level)
	byService := make(map[ident.Service][]float64)
	for id, u := range t.upstreams {
		if seconds, load, ok := u.combine(t.cfg.Expiry, now); ok {
			levels[id] = level{seconds, load}
			byService[u.service] = append(byService[u.service], seconds)
		}
	}
	medians := make(map[ident.Service]float64, len(byService))
	for s, all := range byService {
		slices.Sort(all)
		medians[s] = all[len(all)/2]
	}
	out := make(map[ident.Upstream]Estimate, len(t.upstreams))
	for id, u := range t.upstreams {
		if l, ok := levels[id]; ok {
			u.factor = min(max(minFactor, l.seconds/medians[u.service]), maxFactor)
			u.fresh = now
			u.adjust(l.seconds, medians[u.service], l.load, t.cfg)
		} else {
			u.raise()
		}
		out[id] = Estimate{Factor: u.faded(t.cfg.HalfLife, now), Limit: int(math.Ceil(u.limit))}
	}
	return out
}

// combine returns the mean time for a unit and the load by all samples that count.
func (u *upstream) combine(expiry time.Duration, now time.Time) (seconds, load float64, ok bool) {
	weight := 0.0
	add := func(o observed) {
		w := min(o.units, maxWeight)
		weight += w
		seconds += w * o.seconds
		load += w * o.load
	}
	if u.own.units > 0 && now.Sub(u.own.at) <= expiry {
		add(u.own)
	}
	for from, o := range u.peers {
		if now.Sub(o.at) > expiry {
			delete(u.peers, from)
			continue
		}
		add(o)
	}
	if weight < 1 {
		return 0, 0, false
	}
	return seconds / weight, load / weight, true
}

// adjust changes the limit by one step.
func (u *upstream) adjust(seconds, median, load float64, cfg Settings) {
	if u.least == 0 || seconds < u.least {
		u.least = seconds
	}
	u.least += baseDrift * (seconds - u.least)
	limit := u.limit
	if limit == 0 {
		limit = float64(u.slots)
	}
	if seconds <= cfg.Tolerance*u.least || seconds <= aboveMedian*median || load < float64(cfg.MinLimit) || load < usedShare*limit {
		u.raise()
		return
	}
	u.limit = max(float64(cfg.MinLimit), decrease*min(limit, load))
}

// raise raises the limit by one step, up to the declared slots.
func (u *upstream) raise() {
	if u.limit == 0 {
		return
	}
	u.limit += increase * float64(u.slots)
	if u.limit >= float64(u.slots) {
		u.limit = 0
	}
}

// faded returns the factor, which approaches 1 without samples, so that an upstream that was slow is tried again.
func (u *upstream) faded(halfLife time.Duration, now time.Time) float64 {
	if u.fresh.IsZero() {
		return 1
	}
	return 1 + (u.factor-1)*math.Exp2(-float64(now.Sub(u.fresh))/float64(halfLife))
}
