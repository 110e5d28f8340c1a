// Package batch encodes the tokens that instances replicate to each other.
//
// The owner of a generation sends new tokens to its replica. Appends to one
// replica at about the same time are sent in one frame. The replica answers with
// acknowledgements. Frames are encoded as Protocol Buffers messages with protowire.
package batch

import (
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/encoding/protowire"

	"crocuslug/ident"
)

// Append carries tokens of one generation from its owner to the replica.
type Append struct {
	Generation  ident.Generation
	Attempt     ident.Attempt
	BaseAttempt ident.Attempt // attempt of the base that the tokens are added to
	From        int           // index of the first token; 0 for a base
	Tokens      []string
	Done        bool   // the answer ends after these tokens
	Finish      string // the engine's reason for stopping, if Done
	Base        bool   // replaces everything that the replica stores of the generation
	Spec        []byte // input of the generation, JSON; only in a base
	Upstream    ident.Upstream
	Stream      string
}

// Status is the result of an Append at the replica.
type Status int

// Statuses of acknowledgements.
const (
	Stored    Status = iota // the replica has stored the generation up to Upto
	NeedsBase               // the replica does not have the earlier tokens and needs a base
	Fenced                  // another instance owns the generation
)

// Ack acknowledges an Append.
type Ack struct {
	Generation ident.Generation
	Attempt    ident.Attempt
	Status     Status
	Upto       int // position stored
}

// Field numbers of Append and Ack. Ack uses numbers 1 to 4 only.
const (
	fieldGeneration  = 1
	fieldAttempt     = 2
	fieldFlags       = 3
	fieldFrom        = 4
	fieldToken       = 5
	fieldFinish      = 6
	fieldSpec        = 7
	fieldUpstream    = 8
	fieldStream      = 9
	fieldBaseAttempt = 10
)

// Bits of fieldFlags in an Append. In an Ack the field contains the Status.
const (
	flagDone = 1 << iota
	flagBase
)

// fieldEntry is the field number of an Append or Ack within a frame.
const fieldEntry = 1

// EncodeAppends appends the encoding of entries to b and returns the extended slice.
func EncodeAppends(b []byte, entries []Append) []byte {
	var message []byte
	for i := range entries {
		message = appendEntry(message[:0], &entries[i])
		b = protowire.AppendTag(b, fieldEntry, protowire.BytesType)
		b = protowire.AppendBytes(b, message)
	}
	return b
}

func appendEntry(b []byte, e *Append) []byte {
	var flags uint64
	if e.Done {
		flags |= flagDone
	}
	if e.Base {
		flags |= flagBase
	}
	b = appendString(b, fieldGeneration, string(e.Generation))
	b = appendNumber(b, fieldAttempt, uint64(e.Attempt))
	b = appendNumber(b, fieldFlags, flags)
	b = appendNumber(b, fieldFrom, uint64(e.From))
	b = appendNumber(b, fieldBaseAttempt, uint64(e.BaseAttempt))
	for _, t := range e.Tokens {
		b = protowire.AppendTag(b, fieldToken, protowire.BytesType)
		b = protowire.AppendString(b, t)
	}
	b = appendString(b, fieldFinish, e.Finish)
	b = appendString(b, fieldSpec, string(e.Spec))
	b = appendString(b, fieldUpstream, string(e.Upstream))
	return appendString(b, fieldStream, e.Stream)
}

func appendString(b []byte, field protowire.Number, v string) []byte {
	if v == "" {
		return b
	}
	b = protowire.AppendTag(b, field, protowire.BytesType)
	return protowire.AppendString(b, v)
}

func appendNumber(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	b = protowire.AppendTag(b, field, protowire.VarintType)
	return protowire.AppendVarint(b, v)
}

// EncodeAcks appends the encoding of acks to b and returns the extended slice.
func EncodeAcks(b []byte, acks []Ack) []byte {
	var message []byte
	for _, a := range acks {
		message = appendString(message[:0], fieldGeneration, string(a.Generation))
		message = appendNumber(message, fieldAttempt, uint64(a.Attempt))
		message = appendNumber(message, fieldFlags, uint64(a.Status))
		message = appendNumber(message, fieldFrom, uint64(a.Upto))
		b = protowire.AppendTag(b, fieldEntry, protowire.BytesType)
		b = protowire.AppendBytes(b, message)
	}
	return b
}

// field is one decoded field of a message. Value is set for integers, bytes for strings.
type field struct {
	number protowire.Number
	value  uint64
	bytes  []byte
}

// errMalformed is the class of all decoding errors.
var errMalformed = errs.Class("malformed batch")

// readFields calls f for each field of the message b.
func readFields(b []byte, f func(field) error) error {
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errMalformed.Wrap(protowire.ParseError(n))
		}
		b = b[n:]
		fl := field{number: num}
		switch typ {
		case protowire.VarintType:
			fl.value, n = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			fl.bytes, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(num, typ, b)
		}
		if n < 0 {
			return errMalformed.Wrap(protowire.ParseError(n))
		}
		b = b[n:]
		if err := f(fl); err != nil {
			return err
		}
	}
	return nil
}

// maxIndex is the exclusive upper bound of integers in decoded messages.
const maxIndex = 1 << 31

// DecodeAppends decodes a frame written by EncodeAppends. The entries do not refer to b. It
// returns an error if the frame is malformed, an integer is out of range, or an entry has no
// generation.
func DecodeAppends(b []byte) ([]Append, error) {
	var out []Append
	err := readFields(b, func(fl field) error {
		if fl.number != fieldEntry {
			return nil
		}
		e, err := decodeAppend(fl.bytes)
		out = append(out, e)
		return err
	})
	return out, err
}

func decodeAppend(b []byte) (Append, error) {
	var e Append
	err := readFields(b, func(fl field) error {
		if fl.value >= maxIndex {
			return errMalformed.New("field %d: got %d, want less than %d", fl.number, fl.value, uint64(maxIndex))
		}
		switch fl.number {
		case fieldGeneration:
			e.Generation = ident.Generation(fl.bytes)
		case fieldAttempt:
			e.Attempt = ident.Attempt(fl.value)
		case fieldBaseAttempt:
			e.BaseAttempt = ident.Attempt(fl.value)
		case fieldFlags:
			e.Done = fl.value&flagDone != 0
			e.Base = fl.value&flagBase != 0
		case fieldFrom:
			e.From = int(fl.value)
		case fieldToken:
			e.Tokens = append(e.Tokens, string(fl.bytes))
		case fieldFinish:
			e.Finish = string(fl.bytes)
		case fieldSpec:
			e.Spec = append([]byte(nil), fl.bytes...)
		case fieldUpstream:
			e.Upstream = ident.Upstream(fl.bytes)
		case fieldStream:
			e.Stream = string(fl.bytes)
		}
		return nil
	})
	if err == nil && e.Generation == "" {
		err = errMalformed.New("append without a generation")
	}
	return e, err
}

// DecodeAcks decodes a frame written by EncodeAcks. It returns an error if the frame is
// malformed, an integer is out of range, or a status is unknown.
func DecodeAcks(b []byte) ([]Ack, error) {
	var out []Ack
	err := readFields(b, func(fl field) error {
		if fl.number != fieldEntry {
			return nil
		}
		a, err := decodeAck(fl.bytes)
		out = append(out, a)
		return err
	})
	return out, err
}

func decodeAck(b []byte) (Ack, error) {
	var a Ack
	err := readFields(b, func(fl field) error {
		if fl.value >= maxIndex {
			return errMalformed.New("field %d: got %d, want less than %d", fl.number, fl.value, uint64(maxIndex))
		}
		switch fl.number {
		case fieldGeneration:
			a.Generation = ident.Generation(fl.bytes)
		case fieldAttempt:
			a.Attempt = ident.Attempt(fl.value)
		case fieldFlags:
			a.Status = Status(fl.value)
		case fieldFrom:
			a.Upto = int(fl.value)
		}
		return nil
	})
	if err == nil && a.Status > Fenced {
		err = errMalformed.New("unknown status %d", a.Status)
	}
	return a, err
}
