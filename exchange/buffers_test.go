package exchange

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"crocuslug/timer"
)

// TestBuffers runs testdata/buffers.txt. Each line is "limit N", "take NAME N" or "release NAME",
// and after "=" the names of the answers that it breaks off and the bytes that are then in use.
func TestBuffers(t *testing.T) {
	text, err := os.ReadFile("testdata/buffers.txt")
	if err != nil {
		t.Fatal(err)
	}
	var b *buffers
	var lost []string
	holds := map[string]*hold{}
	for n, line := range strings.Split(string(text), "\n") {
		command, want, _ := strings.Cut(line, "=")
		w := strings.Fields(command)
		if len(w) == 0 || w[0] == "#" {
			continue
		}
		lost = nil
		if w[0] == "limit" {
			limit, _ := strconv.ParseInt(w[1], 10, 64)
			b, holds = newBuffers(limit), map[string]*hold{}
			continue
		}
		name := w[1]
		h := holds[name]
		if h == nil {
			h = &hold{abort: func() { lost = append(lost, name) }}
			holds[name] = h
		}
		switch w[0] {
		case "take":
			size, _ := strconv.ParseInt(w[2], 10, 64)
			if err := b.take(h, size); (err != nil) != h.lost {
				t.Errorf("line %d: %s: got error %v, want one: %v", n+1, line, err, h.lost)
			}
		case "release":
			b.release(h)
		}
		got := strings.Join(append(lost, strconv.FormatInt(b.used, 10)), " ")
		if got != strings.TrimSpace(want) {
			t.Errorf("line %d: %s: got %q", n+1, line, got)
		}
	}
}

// TestGreatestBody guards against a bound on memory that refuses what one answer may have.
func TestGreatestBody(t *testing.T) {
	const size = 64 << 20 // bytes
	for _, framing := range []string{"", fmt.Sprintf("Content-Length: %d\r\n", size)} {
		u := startUpstream(t, func(_ int, c *net.TCPConn) {
			defer c.Close()
			if _, err := readRequest(c, bufio.NewReader(c)); err != nil {
				return
			}
			_, _ = c.Write([]byte(floodHead + framing + "\r\n"))
			_, _ = c.Write(make([]byte, size))
		})
		c := New(Settings{}, timer.New())
		ans, err := c.Do(context.Background(), u.Addr().String(), newRequest("1"))
		if err != nil {
			t.Fatal(err)
		}
		body, err := ans.ReadBody()
		if err != nil || len(body) != size {
			t.Errorf("framing %q: got %d bytes, %v, want %d", framing, len(body), err, size)
		}
		ans.Close()
		if got := c.buffers.used; got != 0 {
			t.Errorf("framing %q: got %d bytes in use after the end, want 0", framing, got)
		}
	}
}

// TestSoundBesideEndless guards against sound answers that fail because bytes without end use up
// the memory of all.
func TestSoundBesideEndless(t *testing.T) {
	endless, closed := flood{begin: floodHead + "\r\n", unit: "x"}.start(t)
	body := strings.Repeat("y", 100<<10)
	u := startUpstream(t, func(_ int, c *net.TCPConn) {
		br := bufio.NewReader(c)
		for {
			if _, err := readRequest(c, br); err != nil {
				return
			}
			_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", floodHead, len(body), body)
		}
	})
	c := New(Settings{MaxBuffered: 4 << 20}, timer.New())
	defer c.Close()
	ended := make(chan string)
	const floods = 8
	for range floods {
		go func() { ended <- result(context.Background(), c, endless, newRequest("1")) }()
	}
	for left := floods; left > 0; {
		select {
		case got := <-ended:
			left--
			if got != "broken" {
				t.Errorf("body without end: got %s, want broken", got)
			}
			<-closed
		default:
			if got, want := result(context.Background(), c, u.Addr().String(), newRequest("1")), fmt.Sprintf("200 %q", body); got != want {
				t.Errorf("sound answer: got %.80s, want %.80s", got, want)
			}
		}
	}
}

// TestReasonOfBreak guards against an answer that is broken off for another one and says only that its
// connection was closed.
func TestReasonOfBreak(t *testing.T) {
	u := startUpstream(t, func(_ int, c *net.TCPConn) {
		br := bufio.NewReader(c)
		if _, err := readRequest(c, br); err == nil {
			_, _ = c.Write([]byte(floodHead + "\r\n"))
		}
		_, _ = br.ReadByte() // until the reader closes the connection
		_ = c.Close()
	})
	const limit = 100 // bytes
	c := New(Settings{MaxBuffered: limit}, timer.New())
	var answers []*Answer
	for range 2 {
		ans, err := c.Do(context.Background(), u.Addr().String(), newRequest("1"))
		if err != nil {
			t.Fatal(err)
		}
		defer ans.Close()
		answers = append(answers, ans)
	}
	if err := answers[0].Reserve(limit); err != nil {
		t.Fatal(err)
	}
	if err := answers[1].Reserve(1); err != nil {
		t.Fatal(err)
	}
	_, err := answers[0].Read(make([]byte, 1))
	if want := "bodies in memory exceed 100 bytes"; !Broken.Has(err) || !strings.Contains(err.Error(), want) {
		t.Errorf("got %v, want %q", err, want)
	}
}
