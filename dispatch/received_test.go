package dispatch

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// receivedStream is what a caller has received of a stream.
type receivedStream struct {
	numbers []string
	foreign int  // bytes of events without a number
	failure bool // a text that tells of a failure was among the pieces
	ended   bool
}

func (g *receivedStream) sink() Sink {
	return Sink{
		Begin: func(int, http.Header) error { return nil },
		Piece: func(raw []byte) error {
			g.failure = g.failure || bytes.Contains(raw, []byte(failureText))
			id, _, _ := strings.Cut(strings.TrimPrefix(string(raw), "id: "), "\n")
			if _, err := strconv.Atoi(id); err != nil {
				g.foreign += len(raw)
				return nil
			}
			g.numbers = append(g.numbers, id)
			return nil
		},
		End: func() error { g.ended = true; return nil },
	}
}

// maxForeign is how much a caller may receive of bytes that are no events of its answer.
const maxForeign = 64 << 10

// span returns "N-M" if the numbers from N to M were received once each and in order, and not too
// many other bytes.
func (g *receivedStream) span() string {
	if g.failure {
		return "and the text of a failure"
	}
	if g.foreign > maxForeign {
		return fmt.Sprintf("and %d foreign bytes", g.foreign)
	}
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
