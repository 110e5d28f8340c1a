package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"crocuslug/daemon"
	"crocuslug/result"
	"crocuslug/settings"
	"crocuslug/telemetry"
	"crocuslug/timer"
)

// defaultLeave is the default time limit of a graceful shutdown.
const defaultLeave = 10 * time.Minute

func serveCommand(app *kingpin.Application) command {
	c := app.Command("serve", "Run one instance until SIGTERM or SIGINT; then finish the work in progress and stop.")
	file := c.Flag("settings", "Settings file, JSON.").Short('s').Required().String()
	return command{c, func() error { return serve(*file) }}
}

func checkCommand(app *kingpin.Application) command {
	c := app.Command("check", "Check a settings file without starting anything.")
	file := c.Flag("settings", "Settings file, JSON.").Short('s').Required().String()
	return command{c, func() error {
		if _, err := readSettings(*file); err != nil {
			return err
		}
		fmt.Println("the settings are valid")
		return nil
	}}
}

// readSettings reads a settings file. It returns all problems in it as one error.
func readSettings(file string) (settings.Settings, error) {
	cfg, problems, err := settings.Read(file)
	if err != nil {
		return cfg, result.New(result.SettingsInvalid, err.Error())
	}
	if err := joinProblems(file, problems); err != nil {
		return cfg, result.New(result.SettingsInvalid, err.Error())
	}
	return cfg, nil
}

// joinProblems returns all problems in a settings file as one error, or nil if
// there is none.
func joinProblems(file string, problems []settings.Problem) error {
	if len(problems) == 0 {
		return nil
	}
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = "  " + p.String()
	}
	return fmt.Errorf("%s:\n%s", file, strings.Join(lines, "\n"))
}

func serve(file string) error {
	cfg, err := readSettings(file)
	if err != nil {
		return err
	}
	log := telemetry.NewLog(os.Stderr, cfg.LogLevel)
	tracing, err := telemetry.New(cfg.Trace, cfg.Name)
	if err != nil {
		return result.New(result.SettingsInvalid, err.Error())
	}
	defer tracing.Stop()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	clock := timer.New()
	clockCtx, stopClock := context.WithCancel(context.Background())
	defer stopClock()
	go clock.Run(clockCtx)
	d, err := daemon.New(cfg, daemon.Options{Timer: clock, Log: log, Tracer: tracing.Tracer})
	if err != nil {
		return result.New(result.SettingsInvalid, err.Error())
	}
	if err := d.Start(); err != nil {
		return err
	}
	fmt.Printf("listening address=%s peer=%s\n", d.Addr(), d.PeerAddr())
	<-ctx.Done()
	stop()
	leave(cfg, d, log)
	d.Stop()
	return nil
}

// leave finishes the work in progress within the time limit of the settings.
func leave(cfg settings.Settings, d *daemon.Daemon, log zerolog.Logger) {
	limit := cfg.Leave.Std()
	if limit == 0 {
		limit = defaultLeave
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := d.Leave(ctx); err != nil {
		log.Warn().Err(err).Msg("graceful shutdown reached its time limit; the remaining work is aborted")
	}
}
