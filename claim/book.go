package claim

import (
	"encoding/base64"
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	"crocuslug/result"
	"crocuslug/unit"
)

var (
	errClass = errs.Class("claim")
	encoding = base64.RawURLEncoding
)

// Settings bound what a Book keeps. Zero values mean the defaults.
type Settings struct {
	Buckets   int           // number of buckets; must be the same on all instances
	Retention unit.Duration // age up to which a key is accepted and its outcome kept
	Skew      unit.Duration // largest error of any instance's clock
	Settle    unit.Duration // after Until, time by which a service has begun what it received
	MaxTail   int           // bytes of entries in a head before they move to a segment
	MaxKeys   int           // keys of a bucket; more claims are refused
	MaxAnswer int           // bytes of a stored body
	Dated     bool          // whether keys without an issue time are refused
}

// Defaults of Settings.
const (
	defaultBuckets   = 16
	defaultRetention = 24 * time.Hour
	defaultSkew      = time.Minute
	defaultSettle    = 30 * time.Second
	defaultMaxTail   = 16 << 10
	defaultMaxKeys   = 150_000
	defaultMaxAnswer = 16 << 10
)

// skewsKept is how many clock errors can add up between the acceptance of a
// key, its eviction, and the refusal of a late retry.
const skewsKept = 5

// WithDefaults returns s with defaults in place of zero values.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.Buckets, defaultBuckets)
	setDefault(&s.Retention, unit.Duration(defaultRetention))
	setDefault(&s.Skew, unit.Duration(defaultSkew))
	setDefault(&s.Settle, unit.Duration(defaultSettle))
	setDefault(&s.MaxTail, defaultMaxTail)
	setDefault(&s.MaxKeys, defaultMaxKeys)
	setDefault(&s.MaxAnswer, defaultMaxAnswer)
	return s
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Bucket returns the bucket of a key.
func (s Settings) Bucket(key Hash) int {
	n := int(key[0])<<16 | int(key[1])<<8 | int(key[2])
	return n % s.Buckets
}

// Entry is what a Book keeps of one key. Times are in Unix milliseconds.
type Entry struct {
	Key         Hash
	Fingerprint Hash
	Claim       ID
	State       State
	Taken       int64
	Until       int64
	Answer      *Answer `json:",omitempty"`
}

// segment names an immutable record of entries.
type segment struct {
	Name   string
	Newest int64 // Unix milliseconds of its newest claim
	Bytes  int
}

// head is the record of a bucket that is replaced by compare-and-swap.
type head struct {
	Spills   uint64 // segments made since the bucket began
	Segments []segment
	Tail     []Entry
}

// Book is the state of one bucket. It is not safe for concurrent use. After
// Apply it holds a proposal; unless the proposal is written, Load must be
// called before the next Apply.
type Book struct {
	cfg     Settings
	head    head
	entries map[Hash]Entry
	tailAt  map[Hash]int
	bytes   int
	changed bool
}

// New returns the book of a bucket that has no head yet.
func New(cfg Settings) *Book {
	b := &Book{cfg: cfg.WithDefaults()}
	b.reset(head{})
	return b
}

func (b *Book) reset(h head) {
	b.head = h
	b.entries = make(map[Hash]Entry)
	b.tailAt = make(map[Hash]int)
	b.bytes = 0
	b.changed = false
}

// Load replaces the state with the head in value, or with the empty state if
// value is nil. The function read returns the content of a segment by name. It
// returns an error if a part is malformed or cannot be read; the book is then
// not usable until a Load succeeds.
func (b *Book) Load(value []byte, now time.Time, read func(name string) ([]Entry, error)) error {
	var h head
	if value != nil {
		if err := json.Unmarshal(value, &h); err != nil {
			return errClass.Wrap(err)
		}
	}
	b.reset(h)
	for _, s := range h.Segments {
		if b.expired(s.Newest, now) {
			continue
		}
		es, err := read(s.Name)
		if err != nil {
			return err
		}
		for _, e := range es {
			b.entries[e.Key] = e
		}
	}
	for i, e := range h.Tail {
		b.entries[e.Key] = e
		b.tailAt[e.Key] = i
		b.bytes += size(e)
	}
	return nil
}

// Head returns the head to write.
func (b *Book) Head() ([]byte, error) {
	v, err := json.Marshal(b.head)
	return v, errClass.Wrap(err)
}

// Segments returns the names of the segments that the head names.
func (b *Book) Segments() []string {
	names := make([]string, 0, len(b.head.Segments))
	for _, s := range b.head.Segments {
		names = append(names, s.Name)
	}
	return names
}

// Changed reports whether Apply or Spill has changed the head since Load or
// Written.
func (b *Book) Changed() bool { return b.changed }

// Written says that the proposal is in the store.
func (b *Book) Written() { b.changed = false }

func (b *Book) evict(now time.Time) {
	for k, e := range b.entries {
		if b.expired(e.Taken, now) {
			delete(b.entries, k)
		}
	}
}

func (b *Book) expired(taken int64, now time.Time) bool {
	keep := b.cfg.Retention.Std() + skewsKept*b.cfg.Skew.Std()
	return now.UnixMilli()-taken > keep.Milliseconds()
}

func (b *Book) put(e Entry) {
	b.changed = true
	b.entries[e.Key] = e
	b.bytes += size(e)
	if i, ok := b.tailAt[e.Key]; ok {
		b.bytes -= size(b.head.Tail[i])
		b.head.Tail[i] = e
		return
	}
	b.tailAt[e.Key] = len(b.head.Tail)
	b.head.Tail = append(b.head.Tail, e)
}

// entryOverhead is the size of an entry in a head without its variable parts,
// in bytes.
const entryOverhead = 160

func size(e Entry) int {
	n := entryOverhead + len(e.Claim)
	if e.Answer != nil {
		n += encoding.EncodedLen(len(e.Answer.Body)) + len(e.Answer.ContentType)
	}
	return n
}

func refuse(c result.Code, detail string) Verdict {
	return Verdict{Err: result.New(c, detail)}
}
