package dispatch

import (
	"net/http"
	"strconv"
	"strings"
)

// receivedStream is what a caller has received of a stream.
type receivedStream struct {
	numbers []string
	ended   bool
}

func (g *receivedStream) sink() Sink {
	return Sink{
		Begin: func(int, http.Header) error { return nil },
		Piece: func(raw []byte) error {
			id, _, _ := strings.Cut(strings.TrimPrefix(string(raw), "id: "), "\n")
			g.numbers = append(g.numbers, id)
			return nil
		},
		End: func() error { g.ended = true; return nil },
	}
}

// span returns "N-M" if the numbers from N to M were received once each and in order.
func (g *receivedStream) span() string {
	if len(g.numbers) == 0 {
		return "none"
	}
	first, _ := strconv.Atoi(g.numbers[0])
	for i, s := range g.numbers {
		if s != strconv.Itoa(first+i) {
			return strings.Join(g.numbers, ",")
		}
	}
	return g.numbers[0] + "-" + g.numbers[len(g.numbers)-1]
}
