package dispatch

import (
	"fmt"
	"io"
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

// cutHead writes a head up to a field and closes the connection, or resets it if end is "reset".
func (e *engine) cutHead(w http.ResponseWriter, r *http.Request, end string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nSigned: 1\r\nContent-Type: text/event-str")
	if end == "reset" {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// invalid answers with a status that HTTP does not define, and a head of a whole answer in the body.
func (e *engine) invalid(w http.ResponseWriter, r *http.Request, status string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	fields := "\r\nId: " + r.Header.Get("Id") + "\r\nSigned: 1\r\nContent-Length: "
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s X%s50\r\n\r\nHTTP/1.1 200 OK%s2\r\n\r\nhi", status, fields, fields)
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

// writePieces writes the events with the numbers from one to another, one at a time.
func (e *engine) writePieces(w http.ResponseWriter, from, to int) {
	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, e.name)
		_ = http.NewResponseController(w).Flush()
	}
}

// floods are bytes that are no events of an answer, by name.
var floods = map[string]string{
	"bytes":    "x",
	"lines":    "data: x\n",
	"empty":    "\n",
	"comments": ": x\n\n",
	"events":   "data: x\n\n",
	"texts":    "id: x\ndata: x\n\n",
	"repeats":  "id: 2\ndata: x\n\n",
	"earlier":  "id: 1\ndata: x\n\nid: 2\ndata: x\n\n",
}

// flood answers with a stream that goes on with other bytes until the connection is closed. The
// script is N-M:NAME, where NAME is one of floods.
func (e *engine) flood(w http.ResponseWriter, script string) {
	span, name, _ := strings.Cut(script, ":")
	_, err := fmt.Fprint(w, e.events(span))
	const block = 16 << 10 // bytes
	units := strings.Repeat(floods[name], block/len(floods[name]))
	for err == nil {
		_, err = fmt.Fprint(w, units)
	}
}

// failureText occurs in all of failureTexts.
const failureText = "Internal Server Error"

// failureTexts are bodies that tell of a failure and end with an empty line, by name; event is an event
// without a number.
var failureTexts = map[string]string{
	"line":   failureText + "\n\n",
	"head":   "HTTP/1.1 500 " + failureText + "\r\nContent-Length: 0\r\n\r\n",
	"event":  "event: error\ndata: " + failureText + "\n\n",
	"fields": "error: " + failureText + "\n\n",
}

// text answers with the events of a span and a failure after them, as a whole answer. The script is
// N-M:NAME[:N-M], where NAME is one of failureTexts. Events of the second span follow it.
func (e *engine) text(w http.ResponseWriter, script string) {
	words := strings.Split(script, ":")
	if first, last, _ := strings.Cut(words[0], "-"); first <= last {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	_, _ = fmt.Fprint(w, e.events(words[0])+failureTexts[words[1]])
	if len(words) > 2 {
		_, _ = fmt.Fprint(w, e.events(words[2]))
	}
}
