// Command crocuslug serves long generations on engines that may fail.
//
// The serve and edge commands run one instance. The other commands check settings,
// explain a request from logs, change the configuration as an operator, and
// demonstrate the system.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"crocuslug/operatorcommand"
	"crocuslug/result"
)

// version is set by the linker.
var version = "development"

// command is one subcommand.
type command struct {
	clause *kingpin.CmdClause
	run    func() error
}

func main() {
	app := kingpin.New("crocuslug", "Serves long generations on engines that may fail: each caller gets its whole answer exactly once.")
	app.HelpFlag.Short('h')
	commands := []command{
		serveCommand(app),
		edgeCommand(app),
		explainCommand(app),
		checkCommand(app),
		demoCommand(app),
		versionCommand(app),
	}
	operators := operatorcommand.Register(app)
	app.Terminate(nil)
	selected, err := app.Parse(os.Args[1:])
	if err != nil {
		fail(result.New(result.Usage, err.Error()+"; see crocuslug --help"))
	}
	if code, ok := operators.Run(selected); ok {
		os.Exit(code)
	}
	for _, c := range commands {
		if c.clause.FullCommand() != selected {
			continue
		}
		if err := c.run(); err != nil {
			fail(err)
		}
		return
	}
}

// fail prints an error with its code and exits with the exit status of the code.
func fail(err error) {
	e, ok := err.(*result.Error)
	if !ok {
		e = result.New(result.Fault, err.Error())
	}
	fmt.Fprintf(os.Stderr, "crocuslug: %v\n", e)
	os.Exit(e.Code.Info().Exit)
}

func versionCommand(app *kingpin.Application) command {
	c := app.Command("version", "Print the version.")
	return command{c, func() error {
		fmt.Println("crocuslug", version)
		return nil
	}}
}
