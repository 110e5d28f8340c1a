package ingress

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"crocuslug/bodybudget"
	"crocuslug/directory"
	"crocuslug/timer"
)

// BenchmarkBodies measures requests one after the other on one connection, whose bodies have their length.
func BenchmarkBodies(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 30 << 10, 1 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			clock := timer.New()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go clock.Run(ctx)
			s := New(benchSettings(), Ports{
				Handle: func(c *Call) { _ = c.Answer(http.StatusOK, nil, nil) },
				Limits: func() directory.Limits { return directory.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20} },
			}, clock, zerolog.Nop())
			if err := s.Start(); err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			c, err := net.Dial("tcp", s.Addr())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			br := bufio.NewReader(c)
			request := fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Write(request); err != nil {
					b.Fatal(err)
				}
				for line := ""; line != "\r\n"; {
					if line, err = br.ReadString('\n'); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}

func benchSettings() Settings {
	return Settings{Listen: "127.0.0.1:0", Bodies: bodybudget.New(bodybudget.Settings{Limit: 36 << 20})}
}
