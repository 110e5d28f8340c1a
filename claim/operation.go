package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"crocuslug/ident"
	"crocuslug/result"
)

// Hash is a truncated SHA-256 that stands for a key or a request.
type Hash [16]byte

// KeyOf returns the hash of an idempotency key within a workspace and service.
func KeyOf(w ident.Workspace, s ident.Service, key string) Hash {
	return hash([]byte(w), []byte(s), []byte(key))
}

// FingerprintOf returns the hash of what a request asks for.
func FingerprintOf(method, path string, body []byte) Hash {
	return hash([]byte(method), []byte(path), body)
}

func hash(parts ...[]byte) Hash {
	h := sha256.New()
	var n [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write(p)
	}
	return Hash(h.Sum(nil)[:len(Hash{})])
}

// MarshalText writes h in base64.
func (h Hash) MarshalText() ([]byte, error) {
	return []byte(encoding.EncodeToString(h[:])), nil
}

// UnmarshalText reads the form of MarshalText. It returns an error if the
// text is no hash.
func (h *Hash) UnmarshalText(text []byte) error {
	b, err := encoding.DecodeString(string(text))
	if err != nil || len(b) != len(h) {
		return errClass.New("malformed hash %q", text)
	}
	copy(h[:], b)
	return nil
}

// ID identifies one attempt to take a claim. It holds the instance that made
// it and is never used twice.
type ID string

// State says what is known of an action.
type State string

// States of an action.
const (
	Running State = "Running" // claimed; the claimer may run it
	Done    State = "Done"    // run; the answer is stored
	NotRun  State = "NotRun"  // released without a run; may be claimed anew
	Unknown State = "Unknown" // may have run; never run again
)

// Answer is the stored answer of an action.
type Answer struct {
	Status      int
	ContentType string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
	Omitted     bool   `json:",omitempty"` // the body exceeded the bound and was not stored
}

// Operation is a request to a Book. With State Running it takes a claim; with
// any other state it settles the claim.
type Operation struct {
	Key         Hash
	Fingerprint Hash
	Claim       ID
	State       State
	Issued      time.Time // when the caller issued the key; zero if it did not say
	StartBy     time.Time // the claimer does not start the action later
	Until       time.Time // the claimer's call has ended by then
	Answer      Answer    // of Done
	Asked       time.Time // of Resolve: when the service was asked
	Resolve     bool      // the state is what the service said, and not what the claimer said
}

// Verdict is the outcome of an operation. The zero value is the outcome of
// every operation that settles a claim.
type Verdict struct {
	Granted bool          // the claim is the first of its key and may run
	Answer  *Answer       // the action is done; the stored answer
	Resolve ID            // the claim whose outcome is unknown; Err is set too
	Err     *result.Error // why the action is not run under this operation
}
