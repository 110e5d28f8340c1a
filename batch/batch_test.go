package batch

import (
	"bytes"
	"flag"
	"os"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"crocuslug/ident"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func drawAppend(t *rapid.T) Append {
	e := Append{
		Generation:  ident.Generation(rapid.StringN(1, 8, -1).Draw(t, "generation")),
		Attempt:     ident.Attempt(rapid.Uint32Max(maxIndex-1).Draw(t, "attempt")),
		BaseAttempt: ident.Attempt(rapid.Uint32Max(maxIndex-1).Draw(t, "origin")),
		From:        rapid.IntRange(0, maxIndex-1).Draw(t, "from"),
		Tokens:      rapid.SliceOfN(rapid.String(), 0, 4).Draw(t, "tokens"),
		Done:        rapid.Bool().Draw(t, "done"),
		Finish:      rapid.String().Draw(t, "finish"),
		Base:        rapid.Bool().Draw(t, "base"),
		Spec:        rapid.SliceOf(rapid.Byte()).Draw(t, "spec"),
		Upstream:    ident.Upstream(rapid.String().Draw(t, "upstream")),
		Stream:      rapid.String().Draw(t, "stream"),
	}
	if len(e.Tokens) == 0 {
		e.Tokens = nil
	}
	if len(e.Spec) == 0 {
		e.Spec = nil
	}
	return e
}

// TestRoundTrip checks that decoding returns what was encoded, including empty tokens,
// arbitrary bytes and the largest integers.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOfN(rapid.Custom(drawAppend), 1, 4).Draw(t, "appends")
		got, err := DecodeAppends(EncodeAppends(nil, want))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("appends: got %+v, %v, want %+v", got, err, want)
		}
		acks := []Ack{{
			Generation: want[0].Generation,
			Attempt:    want[0].Attempt,
			Status:     Status(rapid.IntRange(int(Stored), int(Fenced)).Draw(t, "status")),
			Upto:       want[0].From,
		}}
		back, err := DecodeAcks(EncodeAcks(nil, acks))
		if err != nil || !reflect.DeepEqual(back, acks) {
			t.Fatalf("acks: got %+v, %v, want %+v", back, err, acks)
		}
	})
}

// addSeeds adds valid and malformed frames to the corpus.
func addSeeds(f *testing.F) {
	valid := EncodeAppends(nil, []Append{
		{Generation: "g", Attempt: 3, From: 7, Tokens: []string{"a", "", "b"}},
		{Generation: "h", Base: true, Done: true, Finish: "stop", Spec: []byte("{}"), Upstream: "u", Stream: "s"},
	})
	f.Add(valid)
	f.Add(valid[:len(valid)-1])
	f.Add(EncodeAcks(nil, []Ack{{Generation: "g", Attempt: 1, Status: Fenced, Upto: 9}}))
	f.Add([]byte{0x0a, 0x05, 0x18, 0xff, 0xff, 0xff, 0x7f})
	f.Add([]byte{0x0b, 0x0c})
}

// FuzzDecodeAppends checks that any frame that can be decoded is encoded and decoded again
// with the same result.
func FuzzDecodeAppends(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, b []byte) {
		want, err := DecodeAppends(b)
		if err != nil {
			return
		}
		got, err := DecodeAppends(EncodeAppends(nil, want))
		if err != nil || len(got) != len(want) || !bytes.Equal(EncodeAppends(nil, got), EncodeAppends(nil, want)) {
			t.Errorf("second decoding: got %+v, %v, want %+v", got, err, want)
		}
		for _, e := range want {
			if e.Generation == "" || e.From < 0 {
				t.Errorf("entry: got %+v, want a generation and no negative index", e)
			}
		}
	})
}

// FuzzDecodeAcks checks the same for acknowledgements.
func FuzzDecodeAcks(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, b []byte) {
		want, err := DecodeAcks(b)
		if err != nil {
			return
		}
		got, err := DecodeAcks(EncodeAcks(nil, want))
		if err != nil || len(got) != len(want) || len(want) > 0 && !reflect.DeepEqual(got, want) {
			t.Errorf("second decoding: got %+v, %v, want %+v", got, err, want)
		}
	})
}
