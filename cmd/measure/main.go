// Command measure runs one experiment and prints its report as JSON.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"runtime/pprof"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"crocuslug/measure"
	"crocuslug/measureaction"
	"crocuslug/measurecontrol"
	"crocuslug/measuregeneration"
	"crocuslug/measureload"
	"crocuslug/measureoperator"
	"crocuslug/measureregistered"
)

// runTimeout is the time limit of one experiment.
const runTimeout = 50 * time.Second

// entries returns all experiments in the order in which list prints them.
func entries() []measure.Entry {
	return slices.Concat(
		measuregeneration.Entries(),
		measureload.Entries(),
		measureoperator.Entries(),
		measureaction.Entries(),
		measurecontrol.Entries(),
		measureregistered.Entries(),
		measureaction.Entries(),
	)
}

func main() {
	app := kingpin.New("measure", "Runs small experiments over loopback against stand-ins.")
	list := app.Command("list", "List the experiments.")
	run := app.Command("run", "Run one experiment and print its report as one JSON object.")
	name := run.Arg("name", "Name of the experiment, as printed by list.").Required().String()
	seed := run.Flag("seed", "Seed of all random choices.").Default("1").Uint64()
	baseline := run.Flag("baseline", "Run the naive baseline instead, for comparison.").Bool()
	profile := run.Flag("cpuprofile", "File to write a CPU profile to.").String()
	blocks := run.Flag("mutexprofile", "File to write a profile of lock contention to.").String()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case list.FullCommand():
		for _, e := range entries() {
			fmt.Printf("%-20s %s\n", e.Name, e.Help)
		}
	case run.FullCommand():
		log := zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, NoColor: true}).With().Timestamp().Logger()
		cfg := measure.Settings{Seed: *seed, Baseline: *baseline, Log: log}
		stop, err := startProfiles(*profile, *blocks)
		if err == nil {
			err = runOne(*name, cfg)
			stop()
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// startProfiles starts a CPU profile and a profile of lock contention if their
// files are named. It returns a function that ends them and writes the files.
func startProfiles(cpu, mutex string) (stop func(), err error) {
	var f *os.File
	if cpu != "" {
		if f, err = os.Create(cpu); err != nil {
			return nil, err
		}
		if err = pprof.StartCPUProfile(f); err != nil {
			return nil, err
		}
	}
	if mutex != "" {
		runtime.SetMutexProfileFraction(1)
		runtime.SetBlockProfileRate(1)
	}
	return func() {
		pprof.StopCPUProfile()
		if f != nil {
			_ = f.Close()
		}
		writeProfile(mutex)
	}, nil
}

func writeProfile(file string) {
	if file == "" {
		return
	}
	f, err := os.Create(file)
	if err != nil {
		return
	}
	defer f.Close()
	_ = pprof.Lookup("mutex").WriteTo(f, 0)
}

func runOne(name string, cfg measure.Settings) error {
	for _, e := range entries() {
		if e.Name != name {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
		defer cancel()
		r, err := e.Run(ctx, cfg)
		if err != nil {
			return err
		}
		r.Experiment, r.Seed, r.Baseline = name, cfg.Seed, cfg.Baseline
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	return fmt.Errorf("no experiment %q; see measure list", name)
}
