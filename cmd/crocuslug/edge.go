package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"crocuslug/edge"
	"crocuslug/nativewire"
	"crocuslug/platform"
	"crocuslug/result"
	"crocuslug/settings"
	"crocuslug/telemetry"
	"crocuslug/timer"
)

// peerSecretVariable is the environment variable with the secret that instances share.
const peerSecretVariable = "CROCUSLUG_PEER_SECRET"

// memoryShare is the part of the memory of a process at which the collector
// works harder; the rest is for stacks and what the kernel holds.
const memoryShare = 0.7

func edgeCommand(app *kingpin.Application) command {
	c := app.Command("edge", "Run one instance before upstreams that register themselves, until SIGTERM; on the platform whose settings file "+
		platform.SettingsVariable+" names, or before stand-ins with --settings.")
	file := c.Flag("settings", "Settings file, JSON, of an instance before stand-ins.").Short('s').String()
	level := c.Flag("log-level", "debug, info, warn or error.").Default("info").String()
	check := c.Flag("check", "Check the settings and stop.").Bool()
	return command{c, func() error { return runEdge(edgeSource{*file}, *level, *check) }}
}

// edgeSource says where the settings of an edge are. The file is of the
// project's own form, and that of the platform is read if there is none.
type edgeSource struct {
	file string
}

func (s edgeSource) read() (settings.Edge, error) {
	if s.file == "" {
		return platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	}
	cfg, problems, err := settings.ReadEdge(s.file)
	if err != nil {
		return cfg, err
	}
	return cfg, joinProblems(s.file, problems)
}

func (s edgeSource) ports(cfg settings.Edge) edge.Ports {
	if s.file == "" {
		return platformPorts(cfg)
	}
	return nativewire.Ports(cfg.StoreAddress)
}

func runEdge(source edgeSource, level string, check bool) error {
	cfg, err := source.read()
	if err != nil {
		return result.New(result.SettingsInvalid, err.Error())
	}
	secret := os.Getenv(peerSecretVariable)
	if secret == "" {
		return result.Newf(result.SettingsInvalid, "environment variable %s: want the secret that instances share", peerSecretVariable)
	}
	if check {
		fmt.Println("the settings are sound")
		return nil
	}
	if cfg.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryBytes)))
	}
	out := telemetry.NewLineWriter(os.Stdout)
	defer out.Close()
	log := telemetry.NewLog(out, level)
	clock := timer.New()
	ctx, stopClock := context.WithCancel(context.Background())
	defer stopClock()
	go clock.Run(ctx)
	term, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	e := edge.New(cfg, source.ports(cfg), []byte(secret), clock, log)
	e.DroppedLogLines = out.Dropped
	if err := e.Start(); err != nil {
		return err
	}
	for {
		select {
		case <-reload:
			e.Reload(source.read())
			continue
		case <-term.Done():
		}
		e.Leave()
		e.Stop()
		return nil
	}
}

func platformPorts(cfg settings.Edge) edge.Ports {
	return edge.Ports{
		Store:               platform.StoreSettings(cfg.StoreAddress),
		ConfigurationKey:    platform.ConfigurationKey,
		UpstreamsPrefix:     platform.ServersPrefix,
		ReadinessPath:       platform.ReadinessPath,
		DecodeConfiguration: platform.DecodeConfiguration,
		UpstreamPorts:       platform.UpstreamPorts(),
		DecodeUpstream:      platform.DecodeServer,
		UpstreamID:          platform.UpstreamID,
		Describe:            platform.Describe,
		RequestHeader:       platform.RequestHeader,
		AnswerHeader:        platform.AnswerHeader,
	}
}
