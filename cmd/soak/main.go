// Command soak runs the programs as separate processes, injects faults from the
// outside, and checks the guarantees of the system.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"crocuslug/soak"
)

func main() {
	app := kingpin.New("soak", "Runs the programs as separate processes under faults and checks the guarantees of the system.")
	run := app.Command("run", "Run the seeds from the first one up.")
	seed := run.Flag("seed", "First seed.").Default("1").Uint64()
	count := run.Flag("count", "Runs.").Default("1").Int()
	length := run.Flag("for", "Time in which faults are injected.").Default("20s").Duration()
	dir := run.Flag("dir", "Directory for logs; a new temporary one if empty.").String()
	noFault := run.Flag("no-fault", "Inject no faults, for comparison.").Bool()
	former := run.Flag("former", "Program crocuslug of an earlier build, which instances run by turns with this one.").ExistingFile()
	replay := app.Command("replay", "Run the seeds listed in a file, whose lines have the form SEED LENGTH CAUSE.")
	file := replay.Arg("file", "File with the seeds.").Required().ExistingFile()
	var runs []soak.Settings
	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case run.FullCommand():
		for i := range *count {
			runs = append(runs, soak.Settings{Seed: *seed + uint64(i), FaultPeriod: *length, NoFault: *noFault, Former: *former})
		}
	case replay.FullCommand():
		runs, err = readRuns(*file)
	}
	if err == nil {
		err = runAll(runs, *dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// readRuns returns the settings of the runs listed in file. Each line has the seed,
// the time in which faults are injected, and a cause, which is ignored. Empty lines
// and lines whose first word is "#" are skipped.
func readRuns(file string) ([]soak.Settings, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []soak.Settings
	for sc := bufio.NewScanner(f); sc.Scan(); {
		w := strings.Fields(sc.Text())
		if len(w) == 0 || w[0] == "#" {
			continue
		}
		if len(w) < 2 {
			return nil, fmt.Errorf("line %q: want SEED LENGTH CAUSE", sc.Text())
		}
		seed, err := strconv.ParseUint(w[0], 10, 64)
		if err != nil {
			return nil, fmt.Errorf("line %q: %w", sc.Text(), err)
		}
		length, err := time.ParseDuration(w[1])
		if err != nil {
			return nil, fmt.Errorf("line %q: %w", sc.Text(), err)
		}
		out = append(out, soak.Settings{Seed: seed, FaultPeriod: length})
	}
	return out, nil
}

// runAll builds the programs, makes each run with logs in a directory of its own
// below dir, and prints the reports as JSON. It returns an error if a run fails or
// has violations.
func runAll(runs []soak.Settings, dir string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if dir == "" {
		d, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return err
		}
		dir = d
	}
	build := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator), "./cmd/crocuslug", "./cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w\n%s", err, out)
	}
	failed := 0
	for _, p := range runs {
		p.ProgramDir, p.LogDir = dir, filepath.Join(dir, fmt.Sprintf("seed-%d", p.Seed))
		if err := os.MkdirAll(p.LogDir, 0o750); err != nil {
			return err
		}
		f, err := soak.Run(ctx, p)
		if err != nil {
			return fmt.Errorf("seed %d: %w", p.Seed, err)
		}
		if err := json.NewEncoder(os.Stdout).Encode(f); err != nil {
			return err
		}
		if len(f.Violations) > 0 {
			failed++
			fmt.Fprintf(os.Stderr, "seed %d: %d violations; logs in %s\n", p.Seed, len(f.Violations), p.LogDir)
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d runs have violations", failed, len(runs))
	}
	return nil
}
