// Package operatorcommand implements the operators' commands of the command
// line.
//
// The commands plan, confirm, rollback, status and history call a running
// instance. Results are written to the standard output, as text or JSON. Errors
// are written to the standard error with their numbered code, which determines
// the exit code.
package operatorcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"crocuslug/ident"
	"crocuslug/intent"
	"crocuslug/operatorclient"
	"crocuslug/plan"
	"crocuslug/result"
	"crocuslug/timer"
)

// KeyVariable is the environment variable that may hold the operator's key.
const KeyVariable = "CROCUSLUG_KEY"

// Command is the set of operators' commands of one application.
type Command struct {
	Out io.Writer // for results; os.Stdout unless changed
	Err io.Writer // for errors; os.Stderr unless changed

	timer     *timer.Service
	addresses []string
	keyFile   string
	asJSON    bool

	planFile    string
	planOut     string
	confirmFile string
	revision    uint64
	rollbackOut string
	newest      int
}

// Names of the commands.
const (
	planName     = "plan"
	confirmName  = "confirm"
	rollbackName = "rollback"
	statusName   = "status"
	historyName  = "history"
)

// Register adds the commands to app.
func Register(app *kingpin.Application) *Command {
	c := &Command{Out: os.Stdout, Err: os.Stderr, timer: timer.New()}
	p := c.add(app, planName, "Show what an intent will change, without changing it.")
	p.Arg("intent", "File with the intent as JSON; - for the standard input.").Required().StringVar(&c.planFile)
	p.Flag("out", "File to write the plan to, for confirm.").StringVar(&c.planOut)
	k := c.add(app, confirmName, "Put a plan in force.")
	k.Arg("plan", "File with the plan as JSON; - for the standard input.").Required().StringVar(&c.confirmFile)
	r := c.add(app, rollbackName, "Make a plan that restores the content of an earlier revision.")
	r.Arg("revision", "Number of the revision, as listed by history.").Required().Uint64Var(&c.revision)
	r.Flag("out", "File to write the plan to, for confirm.").StringVar(&c.rollbackOut)
	c.add(app, statusName, "Show which revision is in force at each instance.")
	h := c.add(app, historyName, "List the newest accepted changes.")
	h.Flag("newest", "Number of changes.").Default("20").IntVar(&c.newest)
	return c
}

// add adds a command with the flags that all commands have.
func (c *Command) add(app *kingpin.Application, name, help string) *kingpin.CmdClause {
	cmd := app.Command(name, help)
	cmd.Flag("address", "Address of an instance, host:port; may be given several times.").Required().StringsVar(&c.addresses)
	cmd.Flag("key-file", "File with the operator's key; if it is not given, the key is read from the variable "+KeyVariable+".").StringVar(&c.keyFile)
	cmd.Flag("json", "Print the result as JSON.").BoolVar(&c.asJSON)
	return cmd
}

// Run runs the command that kingpin has selected and returns its exit code.
// Handled is false if selected is none of the operators' commands.
func (c *Command) Run(selected string) (code int, handled bool) {
	run, ok := map[string]func(context.Context, *operatorclient.Client) *result.Error{
		planName:     c.plan,
		confirmName:  c.confirm,
		rollbackName: c.rollback,
		statusName:   c.status,
		historyName:  c.history,
	}[selected]
	if !ok {
		return 0, false
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.timer.Run(ctx)
	err := c.runWithClient(ctx, run)
	if err == nil {
		return result.OK.Info().Exit, true
	}
	fmt.Fprintln(c.Err, err.Error())
	if err.RetryAfter > 0 {
		fmt.Fprintf(c.Err, "Try again after %v.\n", err.RetryAfter)
	}
	return err.Code.Info().Exit, true
}

func (c *Command) runWithClient(ctx context.Context, run func(context.Context, *operatorclient.Client) *result.Error) *result.Error {
	key, err := c.key()
	if err != nil {
		return err
	}
	client, err := operatorclient.New(operatorclient.Settings{Addresses: c.addresses, Key: key, Pause: c.pause})
	if err != nil {
		return err
	}
	return run(ctx, client)
}

func (c *Command) pause(ctx context.Context, d time.Duration) {
	done := make(chan struct{})
	sub := c.timer.After(d, func(time.Time) { close(done) })
	defer sub.Stop()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// key returns the operator's key. Errors contain the name of the file, never the
// key.
func (c *Command) key() (string, *result.Error) {
	if c.keyFile == "" {
		key := strings.TrimSpace(os.Getenv(KeyVariable))
		if key == "" {
			return "", result.Newf(result.Usage, "no operator's key; want --key-file or the environment variable %s", KeyVariable)
		}
		return key, nil
	}
	body, err := os.ReadFile(c.keyFile)
	if err != nil {
		return "", result.New(result.Usage, err.Error())
	}
	return strings.TrimSpace(string(body)), nil
}

func (c *Command) plan(ctx context.Context, client *operatorclient.Client) *result.Error {
	body, err := readFile(c.planFile)
	if err != nil {
		return err
	}
	in, derr := intent.Decode(body)
	if derr != nil {
		return result.New(result.Malformed, derr.Error())
	}
	p, err := client.Plan(ctx, in)
	if err != nil {
		return err
	}
	return c.showPlan(p, c.planOut)
}

func (c *Command) rollback(ctx context.Context, client *operatorclient.Client) *result.Error {
	p, err := client.Rollback(ctx, ident.Revision(c.revision))
	if err != nil {
		return err
	}
	return c.showPlan(p, c.rollbackOut)
}

// planMode is the mode of plan files. Only the operator may read them, because
// they contain hashes of keys.
const planMode = 0o600

func (c *Command) showPlan(p plan.Plan, out string) *result.Error {
	if out != "" {
		body, err := json.MarshalIndent(p, "", "  ")
		if err != nil {
			return result.New(result.Fault, err.Error())
		}
		if err := os.WriteFile(out, append(body, '\n'), planMode); err != nil {
			return result.New(result.Usage, err.Error())
		}
	}
	return c.print(p, func() { writePlan(c.Out, p, c.confirmLine(out)) })
}

// confirmLine returns the command that confirms the plan in file, or "" if file
// is empty.
func (c *Command) confirmLine(file string) string {
	if file == "" {
		return ""
	}
	line := "crocuslug confirm " + file
	for _, a := range c.addresses {
		line += " --address " + a
	}
	if c.keyFile != "" {
		line += " --key-file " + c.keyFile
	}
	return line
}

func (c *Command) confirm(ctx context.Context, client *operatorclient.Client) *result.Error {
	body, err := readFile(c.confirmFile)
	if err != nil {
		return err
	}
	var p plan.Plan
	if err := json.Unmarshal(body, &p); err != nil {
		return result.New(result.Malformed, err.Error())
	}
	rec, err := client.Confirm(ctx, p)
	if err != nil {
		return err
	}
	return c.print(rec, func() { writeRecord(c.Out, rec) })
}

func (c *Command) status(ctx context.Context, client *operatorclient.Client) *result.Error {
	s, err := client.Status(ctx)
	if err != nil {
		return err
	}
	return c.print(s, func() { writeStatus(c.Out, s) })
}

func (c *Command) history(ctx context.Context, client *operatorclient.Client) *result.Error {
	h, err := client.History(ctx, c.newest)
	if err != nil {
		return err
	}
	return c.print(h, func() {
		for _, rec := range h.Records {
			writeRecord(c.Out, rec)
		}
	})
}

// print writes v as JSON if that was asked for, and calls writeText otherwise.
func (c *Command) print(v any, writeText func()) *result.Error {
	if !c.asJSON {
		writeText()
		return nil
	}
	if err := json.NewEncoder(c.Out).Encode(v); err != nil {
		return result.New(result.Fault, err.Error())
	}
	return nil
}

// readFile returns the content of file, or of the standard input if file is "-".
func readFile(file string) ([]byte, *result.Error) {
	if file == "-" {
		body, err := io.ReadAll(os.Stdin)
		if err != nil {
			return nil, result.New(result.Usage, err.Error())
		}
		return body, nil
	}
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, result.New(result.Usage, err.Error())
	}
	return body, nil
}
