package operatorcommand

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/valyala/fasthttp"

	"crocuslug/configuration"
	"crocuslug/operatorapi"
	"crocuslug/revision"
	"crocuslug/rollout"
	"crocuslug/standinkeyvalue"
	"crocuslug/timer"
)

const key = "a key of an operator"

func keyHash() string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// serve runs the API of one instance with store and returns its address. If
// loseConfirmations is set, it closes the connection of a confirmation after
// handling it, without an answer.
func serve(t *testing.T, store *standinkeyvalue.Store, loseConfirmations bool) string {
	l := revision.New(store.Port(), func() time.Time { return time.Unix(0, 0) }, revision.Settings{})
	api := operatorapi.New(operatorapi.Ports{
		Current: func() *configuration.Document { return &configuration.Document{} },
		Newest:  l.NewestDocument, Confirm: l.Confirm, At: l.DocumentAt, History: l.List,
		Status: func(context.Context) []rollout.Report {
			return []rollout.Report{{Instance: "a", Revision: 3, Answered: true}, {Instance: "b"}}
		},
	}, operatorapi.Settings{BootstrapKeyHash: keyHash()})
	handle := func(ctx *fasthttp.RequestCtx) {
		api.Handle(ctx)
		if loseConfirmations && strings.HasSuffix(string(ctx.Path()), "confirmations") {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(c net.Conn) { _ = c.Close() })
		}
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fasthttp.Server{Handler: handle}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Shutdown() })
	return ln.Addr().String()
}

// scriptRun is the state of a running script. Output and exit code are those of
// the last command.
type scriptRun struct {
	t         *testing.T
	addresses []string
	out, err  bytes.Buffer
	code      int
}

func (s *scriptRun) run(args []string) {
	s.out.Reset()
	s.err.Reset()
	app := kingpin.New("crocuslug", "").Terminate(nil)
	c := Register(app)
	c.Out, c.Err = &s.out, &s.err
	for _, a := range s.addresses {
		args = append(args, "--address", a)
	}
	selected, err := app.Parse(args)
	if err != nil {
		s.t.Fatalf("%v: %v", args, err)
	}
	code, handled := c.Run(selected)
	if !handled {
		s.t.Fatalf("%v: got not handled, want handled", args)
	}
	s.code = code
	if strings.Contains(s.out.String()+s.err.String(), key) {
		s.t.Errorf("%v: got the key in the output, want it never printed", args)
	}
}

func (s *scriptRun) step(n int, line string) {
	verb, rest, _ := strings.Cut(line, " ")
	switch verb {
	case "write":
		name, body, _ := strings.Cut(rest, " ")
		if err := os.WriteFile(name, []byte(strings.ReplaceAll(body, "$HASH", keyHash())), 0o600); err != nil {
			s.t.Fatal(err)
		}
	case "run":
		s.run(strings.Fields(rest))
	case "exit":
		if got := strconv.Itoa(s.code); got != rest {
			s.t.Errorf("line %d: got exit code %s (%s), want %s", n, got, s.err.String(), rest)
		}
	case "prints":
		if got := s.out.String(); !strings.Contains(got, rest) {
			s.t.Errorf("line %d: got %q, want %q in it", n, got, rest)
		}
	case "fails":
		if got := s.err.String(); !strings.Contains(got, rest) {
			s.t.Errorf("line %d: got %q, want %q in it", n, got, rest)
		}
	default:
		s.t.Fatalf("line %d: got step %q, want write, run, exit, prints or fails", n, verb)
	}
}

func TestScript(t *testing.T) {
	body, err := os.ReadFile("testdata/operators.txt")
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(t.TempDir())
	t.Setenv(KeyVariable, key)
	store := standinkeyvalue.New(timer.NewVirtual(time.Unix(0, 0)))
	s := &scriptRun{t: t, addresses: []string{"127.0.0.1:1", serve(t, store, true), serve(t, store, false)}}
	for i, line := range strings.Split(string(body), "\n") {
		if line != "" && !strings.HasPrefix(line, "#") {
			s.step(i+1, line)
		}
	}
}
