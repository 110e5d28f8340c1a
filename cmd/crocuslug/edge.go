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

// memoryLimitShare is the soft memory limit of the Go runtime as a share of the
// memory that the process may use. Above it, the garbage collector runs more often.
// The remainder is for stacks and memory that the kernel uses for the process.
const memoryLimitShare = 0.7

func edgeCommand(app *kingpin.Application) command {
	c := app.Command("edge", "Run one instance that proxies requests to upstreams that register themselves, until SIGTERM; on the platform whose settings file "+
		platform.SettingsVariable+" names, or with stand-ins if --settings is given.")
	file := c.Flag("settings", "Settings file, JSON, of an instance that runs with stand-ins.").Short('s').String()
	level := c.Flag("log-level", "debug, info, warn or error.").Default("info").String()
	check := c.Flag("check", "Check the settings and stop.").Bool()
	return command{c, func() error { return runEdge(edgeSource{*file}, *level, *check) }}
}

// edgeSource is the source of an edge's settings. File is a file in this project's
// format; if it is empty, the settings file of the platform is read.
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
		fmt.Println("the settings are valid")
		return nil
	}
	if cfg.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(cfg.MemoryBytes)))
	}
	out := telemetry.NewLineWriter(os.Stdout)
	defer out.Close()
	log := telemetry.NewLog(out, level)
	clock := timer.New()
	ctx, stopClock := context.WithCancel(context.Background())
	defer stopClock()
	go clock.Run(ctx)
	terminated, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
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
		case <-terminated.Done():
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
		OrdersPrefix:        platform.OrdersPrefix,
		StatusesPrefix:      platform.StatusesPrefix,
		DecodeOrder:         platform.DecodeOrder,
		DecodeStatus:        platform.DecodeStatus,
		EncodeStatus:        platform.EncodeStatus,
		ReadinessPath:       platform.ReadinessPath,
		DecodeConfiguration: platform.DecodeConfiguration,
		UpstreamPorts:       platform.UpstreamPorts(),
		DecodeUpstream:      platform.DecodeServer,
		Describe:            platform.Describe,
		RequestHeader:       platform.RequestHeader,
		AnswerHeader:        platform.AnswerHeader,
	}
}
