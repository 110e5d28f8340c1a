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

// Settings are the limits of a Bucket. Zero values mean the defaults.
type Settings struct {
	Buckets          int           // number of buckets; must be equal on all instances
	Retention        unit.Duration // age up to which a key is accepted and its outcome is kept
	Skew             unit.Duration // largest clock error of any instance
	MaxDeliveryDelay unit.Duration // time after Until during which a service may still start a request
	MaxTail          int           // bytes of entries in a head above which they are moved to a segment
	MaxKeys          int           // keys of a bucket; claims of further keys are refused
	MaxAnswer        int           // bytes of a stored response body; larger ones are omitted
	RequireIssueTime bool          // refuse keys without an issue time
}

// Defaults of Settings.
const (
	defaultBuckets          = 16
	defaultRetention        = 24 * time.Hour
	defaultSkew             = time.Minute
	defaultMaxDeliveryDelay = 30 * time.Second
	defaultMaxTail          = 16 << 10
	defaultMaxKeys          = 150_000
	defaultMaxAnswer        = 16 << 10
)

// retentionSkews is the number of clock errors that can add up between the
// acceptance of a key, the removal of its entry, and the refusal of a late
// retry. Entries are kept longer by this many times Skew.
const retentionSkews = 5

// WithDefaults returns s with zero values replaced by the defaults.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.Buckets, defaultBuckets)
	setDefault(&s.Retention, unit.Duration(defaultRetention))
	setDefault(&s.Skew, unit.Duration(defaultSkew))
	setDefault(&s.MaxDeliveryDelay, unit.Duration(defaultMaxDeliveryDelay))
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

// BucketIndex returns the index of the bucket that holds a key.
func (s Settings) BucketIndex(key Hash) int {
	n := int(key[0])<<16 | int(key[1])<<8 | int(key[2])
	return n % s.Buckets
}

// Entry is the state of one key in a Bucket. Times are in Unix milliseconds.
type Entry struct {
	Key         Hash
	Fingerprint Hash
	Claim       ID
	State       State
	ClaimedAt   int64   `json:"Taken"` // time of the claim
	Until       int64   // latest end of the claimer's call
	Answer      *Answer `json:",omitempty"`
}

// segment refers to an immutable record of entries.
type segment struct {
	Name   string
	Newest int64 // time of its newest claim, in Unix milliseconds
	Bytes  int
}

// head is the record of a bucket that is replaced by compare-and-swap.
type head struct {
	Flushes  uint64 `json:"Spills"` // segments written since the bucket was created
	Segments []segment
	Tail     []Entry
}

// Bucket is the state of one bucket. It is not safe for concurrent use. After
// Apply it may contain changes that are not in the store yet; if writing them
// fails, Load must be called before the next Apply.
type Bucket struct {
	cfg       Settings
	head      head
	entries   map[Hash]Entry
	tailIndex map[Hash]int
	tailBytes int
	changed   bool
}

// New returns the state of a bucket that has no head yet.
func New(cfg Settings) *Bucket {
	b := &Bucket{cfg: cfg.WithDefaults()}
	b.reset(head{})
	return b
}

func (b *Bucket) reset(h head) {
	b.head = h
	b.entries = make(map[Hash]Entry)
	b.tailIndex = make(map[Hash]int)
	b.tailBytes = 0
	b.changed = false
}

// Load replaces the state with the head in value, or with the empty state if
// value is nil. The function read returns the entries of the segment with the
// given name. Load returns an error if a part is malformed or cannot be read;
// the bucket must then not be used until a Load succeeds.
func (b *Bucket) Load(value []byte, now time.Time, read func(name string) ([]Entry, error)) error {
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
		b.tailIndex[e.Key] = i
		b.tailBytes += size(e)
	}
	return nil
}

// Head returns the head as JSON, to be written to the store.
func (b *Bucket) Head() ([]byte, error) {
	v, err := json.Marshal(b.head)
	return v, errClass.Wrap(err)
}

// Segments returns the names of the segments that the head refers to.
func (b *Bucket) Segments() []string {
	names := make([]string, 0, len(b.head.Segments))
	for _, s := range b.head.Segments {
		names = append(names, s.Name)
	}
	return names
}

// Changed reports whether Apply or Flush has changed the head since the last
// call of Load or MarkWritten.
func (b *Bucket) Changed() bool { return b.changed }

// MarkWritten records that the current head has been written to the store.
func (b *Bucket) MarkWritten() { b.changed = false }

// removeExpired deletes the entries that are older than the retention period.
func (b *Bucket) removeExpired(now time.Time) {
	for k, e := range b.entries {
		if b.expired(e.ClaimedAt, now) {
			delete(b.entries, k)
		}
	}
}

func (b *Bucket) expired(claimedAt int64, now time.Time) bool {
	keep := b.cfg.Retention.Std() + retentionSkews*b.cfg.Skew.Std()
	return now.UnixMilli()-claimedAt > keep.Milliseconds()
}

func (b *Bucket) put(e Entry) {
	b.changed = true
	b.entries[e.Key] = e
	b.tailBytes += size(e)
	if i, ok := b.tailIndex[e.Key]; ok {
		b.tailBytes -= size(b.head.Tail[i])
		b.head.Tail[i] = e
		return
	}
	b.tailIndex[e.Key] = len(b.head.Tail)
	b.head.Tail = append(b.head.Tail, e)
}

// entryOverhead is the encoded size of an entry without its parts of variable
// length, in bytes.
const entryOverhead = 160

func size(e Entry) int {
	n := entryOverhead + len(e.Claim)
	if e.Answer != nil {
		n += encoding.EncodedLen(len(e.Answer.Body)) + len(e.Answer.ContentType)
	}
	return n
}

func refuse(c result.Code, detail string) Decision {
	return Decision{Err: result.New(c, detail)}
}
