// Package batch is the form in which tokens travel between instances.
//
// The owner of a generation sends its replica what is new; what goes to one
// replica at about the same time travels in one frame. The replica answers with acknowledgements.
// The form is that of Protocol Buffers messages, written and read with protowire.
package batch

import (
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/encoding/protowire"

	"crocuslug/ident"
)

// Append carries tokens of one generation from its owner to the replica.
type Append struct {
	Generation ident.Generation
	Attempt    ident.Attempt
	Origin     ident.Attempt // attempt under which the base was sent that this adds to
	From       int           // index of the first token; 0 for a base
	Tokens     []string
	Done       bool   // the answer ends after these tokens
	Finish     string // the engine's reason, if Done
	Base       bool   // replaces all that the replica holds of the generation
	Spec       []byte // what the generation is made from, JSON; only in a base
	Upstream   ident.Upstream
	Stream     string
}

// Status is the replica's answer to an Append.
type Status int

// Statuses of acknowledgements.
const (
	Held   Status = iota // the replica holds the generation up to Upto
	Needs                // the replica lacks earlier tokens and needs a base
	Fenced               // another instance owns the generation
)

// Ack answers an Append.
type Ack struct {
	Generation ident.Generation
	Attempt    ident.Attempt
	Status     Status
	Upto       int // position held
}

// Field numbers of Append and Ack. Numbers 1 to 4 are the same in both.
const (
	fieldGeneration = 1
	fieldAttempt    = 2
	fieldFlags      = 3
	fieldFrom       = 4
	fieldToken      = 5
	fieldFinish     = 6
	fieldSpec       = 7
	fieldUpstream   = 8
	fieldStream     = 9
	fieldOrigin     = 10
)

// Bits of the flags of an Append.
const (
	flagDone = 1 << iota
	flagBase
)

// fieldEntry is the field of a frame that holds one Append or Ack.
const fieldEntry = 1

// EncodeAppends appends the form of entries to b.
func EncodeAppends(b []byte, entries []Append) []byte {
	var one []byte
	for i := range entries {
		one = appendEntry(one[:0], &entries[i])
		b = protowire.AppendTag(b, fieldEntry, protowire.BytesType)
		b = protowire.AppendBytes(b, one)
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
	b = appendText(b, fieldGeneration, string(e.Generation))
	b = appendNumber(b, fieldAttempt, uint64(e.Attempt))
	b = appendNumber(b, fieldFlags, flags)
	b = appendNumber(b, fieldFrom, uint64(e.From))
	b = appendNumber(b, fieldOrigin, uint64(e.Origin))
	for _, t := range e.Tokens {
		b = protowire.AppendTag(b, fieldToken, protowire.BytesType)
		b = protowire.AppendString(b, t)
	}
	b = appendText(b, fieldFinish, e.Finish)
	b = appendText(b, fieldSpec, string(e.Spec))
	b = appendText(b, fieldUpstream, string(e.Upstream))
	return appendText(b, fieldStream, e.Stream)
}

func appendText(b []byte, field protowire.Number, v string) []byte {
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

// EncodeAcks appends the form of acks to b.
func EncodeAcks(b []byte, acks []Ack) []byte {
	var one []byte
	for _, a := range acks {
		one = appendText(one[:0], fieldGeneration, string(a.Generation))
		one = appendNumber(one, fieldAttempt, uint64(a.Attempt))
		one = appendNumber(one, fieldFlags, uint64(a.Status))
		one = appendNumber(one, fieldFrom, uint64(a.Upto))
		b = protowire.AppendTag(b, fieldEntry, protowire.BytesType)
		b = protowire.AppendBytes(b, one)
	}
	return b
}

// field is one field of a message as it was read.
type field struct {
	number protowire.Number
	value  uint64
	bytes  []byte
}

// errMalformed is the class of all errors in reading a frame.
var errMalformed = errs.Class("malformed batch")

// read calls f for each field of the message b.
func read(b []byte, f func(field) error) error {
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

// maxIndex bounds indices and attempts in what is read.
const maxIndex = 1 << 31

// DecodeAppends reads what EncodeAppends wrote. The texts are copies.
func DecodeAppends(b []byte) ([]Append, error) {
	var out []Append
	err := read(b, func(fl field) error {
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
	err := read(b, func(fl field) error {
		if fl.value >= maxIndex {
			return errMalformed.New("number out of range")
		}
		switch fl.number {
		case fieldGeneration:
			e.Generation = ident.Generation(fl.bytes)
		case fieldAttempt:
			e.Attempt = ident.Attempt(fl.value)
		case fieldOrigin:
			e.Origin = ident.Attempt(fl.value)
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
		err = errMalformed.New("no generation")
	}
	return e, err
}

// DecodeAcks reads what EncodeAcks wrote.
func DecodeAcks(b []byte) ([]Ack, error) {
	var out []Ack
	err := read(b, func(fl field) error {
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
	err := read(b, func(fl field) error {
		if fl.value >= maxIndex {
			return errMalformed.New("number out of range")
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
		err = errMalformed.New("unknown status")
	}
	return a, err
}
