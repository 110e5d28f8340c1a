package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"crocuslug/ident"
	"crocuslug/result"
)

// Hash is a truncated SHA-256 hash that identifies a key or a request.
type Hash [16]byte

// KeyOf returns the hash of an idempotency key in a workspace and service.
func KeyOf(w ident.Workspace, s ident.Service, key string) Hash {
	return hash([]byte(w), []byte(s), []byte(key))
}

// FingerprintOf returns the hash of the method, path and body of a request. Two
// requests with the same key must have the same fingerprint.
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

// MarshalText returns h in unpadded URL-safe base64.
func (h Hash) MarshalText() ([]byte, error) {
	return []byte(encoding.EncodeToString(h[:])), nil
}

// UnmarshalText decodes the form that MarshalText returns. It returns an error
// if text is not such a hash.
func (h *Hash) UnmarshalText(text []byte) error {
	b, err := encoding.DecodeString(string(text))
	if err != nil || len(b) != len(h) {
		return errClass.New("malformed hash %q: want 16 bytes in base64", text)
	}
	copy(h[:], b)
	return nil
}

// ID identifies one attempt to claim a key. It contains the name of the
// instance that created it and is never reused.
type ID string

// State is the recorded state of an action.
type State string

// States of an action.
const (
	Running State = "Running" // claimed; only the claimer may run it
	Done    State = "Done"    // was run; its answer is stored
	NotRun  State = "NotRun"  // released without being run; may be claimed again
	Unknown State = "Unknown" // may have been run; must not be run again
)

// Answer is the stored answer of an action.
type Answer struct {
	Status      int
	ContentType string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
	Omitted     bool   `json:",omitempty"` // the body was too large and was not stored
}

// Operation is a request to a Bucket. With State Running it claims a key; with
// any other state it records the outcome of the claim.
type Operation struct {
	Key         Hash
	Fingerprint Hash
	Claim       ID
	State       State
	Issued      time.Time // when the caller issued the key; zero if unknown
	StartBy     time.Time // the claimer does not start the action at or after this time
	Until       time.Time // the claimer's call to the service has ended by this time
	Answer      Answer    // if State is Done: the answer to store
	AskedAt     time.Time `json:"Asked"`   // if FromService: when the service was asked
	FromService bool      `json:"Resolve"` // the service reported the state, not the claimer
}

// Decision is the result of an operation. An operation that records an outcome
// always has the zero value as its result.
type Decision struct {
	Granted    bool          // the key is claimed and the claimer may run the action
	Answer     *Answer       // the stored answer, if the action is done
	Unresolved ID            `json:"Resolve"` // the claim whose outcome is unknown; Err is set too
	Err        *result.Error // why the action must not be run for this operation
}
