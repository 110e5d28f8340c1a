package dispatch

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// bare answers without a length or chunks, so that the answer ends with the connection. The script
// is VERSION:CONTENT:END. VERSION is that of HTTP, followed by "k" if the answer names keep-alive.
// CONTENT is N-M for a stream, or =BODY. END is close, reset, or the same with "-inside" for an
// incomplete event before it.
func (e *engine) bare(w http.ResponseWriter, r *http.Request, script string) {
	words := strings.SplitN(script, ":", 3)
	version, kept := strings.CutSuffix(words[0], "k")
	end, inside := strings.CutSuffix(words[2], "-inside")
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	head := "HTTP/" + version + " 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nSigned: 1\r\n"
	if kept {
		head += "Connection: keep-alive\r\n"
	}
	content, whole := strings.CutPrefix(words[1], "=")
	if !whole {
		content = e.events(content)
	}
	if inside {
		content += "id: 99\ndata: x\n"
	}
	_, _ = conn.Write([]byte(head + "\r\n" + content))
	if end == "reset" {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// events returns the events with the numbers of a span N-M.
func (e *engine) events(span string) string {
	first, last, _ := strings.Cut(span, "-")
	from, _ := strconv.Atoi(first)
	to, _ := strconv.Atoi(last)
	var b strings.Builder
	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i, e.name)
	}
	return b.String()
}
