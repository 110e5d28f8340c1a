package engineclient

import (
	"testing"

	"github.com/tmaxmax/go-sse"
)

func BenchmarkToken(b *testing.B) {
	s := &Stream{name: "0b1c2d3e-aaaa-bbbb-cccc-0123456789ab-3"}
	ev := sse.Event{
		LastEventID: "117",
		Data: `{"id":"0b1c2d3e-aaaa-bbbb-cccc-0123456789ab-3","object":"chat.completion.chunk","model":"m","version":"1",` +
			`"choices":[{"index":0,"delta":{"content":"4f3a.117 "},"finish_reason":null}]}`,
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.decodeEvent(ev); err != nil {
			b.Fatal(err)
		}
	}
}
