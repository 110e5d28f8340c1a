// Command standin runs one stand-in for a part of the platform as a process.
//
// It prints one line with its address when it is ready. It exits when a fault
// kills the stand-in or a signal ends the process.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"crocuslug/instancelist"
	"crocuslug/standinengine"
	"crocuslug/standininstances"
	"crocuslug/standinkeyvalue"
	"crocuslug/standinregistered"
	"crocuslug/standinservice"
	"crocuslug/timer"
	"crocuslug/unit"
)

// server is a stand-in that serve can run.
type server struct {
	start func() error
	addr  func() string
	stop  func()
}

// newServer makes the stand-in of one subcommand.
type newServer func(t *timer.Service, listen string) (server, error)

// exitKilled is the exit code after the fault Kill or a crash. It is that of a
// process killed by SIGKILL in a shell.
const exitKilled = 137

func exit() { os.Exit(exitKilled) }

func main() {
	app := kingpin.New("standin", "Runs a stand-in for a part of the platform.")
	listen := app.Flag("listen", "Address to listen on.").Default("127.0.0.1:0").String()
	commands := map[string]newServer{}
	addEngine(app, commands)
	addService(app, commands)
	addKeyValue(app, commands)
	addInstances(app, commands)
	addRegistered(app, commands)
	run := commands[kingpin.MustParse(app.Parse(os.Args[1:]))]
	if err := serve(run, *listen); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serve runs a stand-in until SIGINT or SIGTERM.
func serve(run newServer, listen string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	t := timer.New()
	running, end := context.WithCancel(context.Background())
	defer end()
	go t.Run(running) // until serve returns, since stop may wait for times of t
	s, err := run(t, listen)
	if err != nil {
		return err
	}
	if err := s.start(); err != nil {
		return err
	}
	fmt.Printf("listening address=%s\n", s.addr())
	<-ctx.Done()
	s.stop()
	return nil
}

func addEngine(app *kingpin.Application, commands map[string]newServer) {
	cmd := app.Command("engine", "A model engine.")
	var cfg standinengine.Settings
	cmd.Flag("name", "Name of the engine.").Default("engine").StringVar(&cfg.Name)
	models := cmd.Flag("model", "Loaded model as MODEL:VERSION[:ADAPTER,...]; may be repeated.").Default("m:1").Strings()
	cmd.Flag("slots", "Number of streams decoded concurrently.").Default("16").IntVar(&cfg.Slots)
	cmd.Flag("queue", "Largest number of waiting streams; a negative number means none.").Default("64").IntVar(&cfg.QueueLimit)
	cmd.Flag("token-interval", "Time between two tokens of a stream.").Default("25ms").DurationVar(&cfg.TokenInterval)
	cmd.Flag("prefill", "Time to prefill one token that is not cached.").Default("0s").DurationVar(&cfg.PrefillPerToken)
	cmd.Flag("cache-blocks", "Number of blocks in the prefix cache.").Default("4096").IntVar(&cfg.CacheBlocks)
	cmd.Flag("load-lag", "Largest age of load reports.").Default("500ms").DurationVar(&cfg.LoadLag)
	cmd.Flag("stream-grace", "Time for which a stream continues without a connection.").Default("10s").DurationVar(&cfg.StreamGrace)
	cmd.Flag("checks-fencing", "Refuse orders with an old fencing number.").BoolVar(&cfg.ChecksFencing)
	cmd.Flag("cannot-continue", "Answer 501 to continue_from.").BoolVar(&cfg.CannotContinue)
	commands[cmd.FullCommand()] = func(t *timer.Service, listen string) (server, error) {
		cfg.Listen, cfg.Exit = listen, exit
		for _, m := range *models {
			model, err := parseModel(m)
			if err != nil {
				return server{}, err
			}
			cfg.Models = append(cfg.Models, model)
		}
		e := standinengine.New(cfg, t)
		return server{e.Start, e.Addr, e.Stop}, nil
	}
}

// parseModel parses a model in the form MODEL:VERSION[:ADAPTER,...].
func parseModel(text string) (standinengine.Model, error) {
	const maxParts = 3
	parts := strings.SplitN(text, ":", maxParts)
	if len(parts) < 2 || parts[0] == "" {
		return standinengine.Model{}, fmt.Errorf("model %q: want MODEL:VERSION[:ADAPTER,...]", text)
	}
	m := standinengine.Model{Model: parts[0], Version: parts[1]}
	if len(parts) == maxParts {
		m.Adapters = strings.Split(parts[2], ",")
	}
	return m, nil
}

func addService(app *kingpin.Application, commands map[string]newServer) {
	cmd := app.Command("service", "A plain service.")
	delay := cmd.Flag("delay", "Delay of each call.").Default("0s").Duration()
	rate := cmd.Flag("rate", "Largest number of calls per second; 0 means no limit.").Default("0").Int()
	commands[cmd.FullCommand()] = func(t *timer.Service, listen string) (server, error) {
		faults := standinservice.Faults{Delay: unit.Duration(*delay), RatePerSec: *rate}
		s := standinservice.New(standinservice.Settings{Listen: listen, Faults: faults, Exit: exit}, t)
		return server{s.Start, s.Addr, s.Stop}, nil
	}
}

func addKeyValue(app *kingpin.Application, commands map[string]newServer) {
	cmd := app.Command("keyvalue", "The platform's key-value service.")
	var f standinkeyvalue.Faults
	cmd.Flag("reads", "Largest number of reads per second; 0 means no limit.").Default("2000").IntVar(&f.ReadsPerSec)
	cmd.Flag("writes", "Largest number of writes per second; 0 means no limit.").Default("400").IntVar(&f.WritesPerSec)
	cmd.Flag("delay", "Delay of each call.").Default("2ms").DurationVar(&f.Delay)
	commands[cmd.FullCommand()] = func(t *timer.Service, listen string) (server, error) {
		store := standinkeyvalue.New(t)
		store.SetFaults(f)
		s := standinkeyvalue.NewServer(store, listen, exit)
		return server{s.Start, s.Addr, s.Stop}, nil
	}
}

func addInstances(app *kingpin.Application, commands map[string]newServer) {
	cmd := app.Command("instances", "The platform's instance list.")
	lag := cmd.Flag("lag", "Time until a change appears in the list.").Default("5s").Duration()
	list := cmd.Flag("list", "File with the initial list, in JSON.").ExistingFile()
	commands[cmd.FullCommand()] = func(t *timer.Service, listen string) (server, error) {
		s := standininstances.New(standininstances.Settings{Listen: listen, Lag: *lag, Exit: exit}, t)
		if *list != "" {
			l, err := readList(*list)
			if err != nil {
				return server{}, err
			}
			s.Set(l.Instances)
		}
		return server{s.Start, s.Addr, s.Stop}, nil
	}
}

func readList(name string) (instancelist.List, error) {
	body, err := os.ReadFile(name)
	if err != nil {
		return instancelist.List{}, err
	}
	return instancelist.Parse(body)
}

func addRegistered(app *kingpin.Application, commands map[string]newServer) {
	cmd := app.Command("registered", "A model engine or plain service that registers itself in the key-value service.")
	var cfg standinregistered.Settings
	cmd.Flag("public", "Address to register; the address of --listen if empty.").StringVar(&cfg.Public)
	cmd.Flag("store", "Address of the key-value service.").Required().StringVar(&cfg.Store)
	cmd.Flag("recorder", "Address of a recorder to which each run is reported.").StringVar(&cfg.Recorder)
	cmd.Flag("service", "Name of its service.").Default("engine").StringVar((*string)(&cfg.Service))
	cmd.Flag("domain", "Failure domain.").Default("a").StringVar((*string)(&cfg.Domain))
	cmd.Flag("build", "Version of its software, which its pieces name.").StringVar((*string)(&cfg.Build))
	cmd.Flag("prefill", "Time before the first piece or the answer.").Default("100ms").DurationVar(&cfg.Prefill)
	cmd.Flag("interval", "Time between pieces.").Default("20ms").DurationVar(&cfg.Interval)
	cmd.Flag("pieces", "Number of pieces of an answer; 0 for a plain service.").Default("0").IntVar(&cfg.Pieces)
	cmd.Flag("crash-body", "Begin of the bodies on which a plain service exits.").StringVar(&cfg.CrashBody)
	cmd.Flag("drain", "Time from the announcement of leaving to the end.").Default("2s").DurationVar(&cfg.Drain)
	commands[cmd.FullCommand()] = func(t *timer.Service, listen string) (server, error) {
		cfg.Listen, cfg.OnCrash = listen, exit
		s := standinregistered.New(cfg, t)
		return server{s.Start, s.Addr, s.Stop}, nil
	}
}
