package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"crocuslug/edge"
	"crocuslug/keyvalue"
	"crocuslug/platform"
	"crocuslug/result"
	"crocuslug/settings"
	"crocuslug/telemetry"
	"crocuslug/timer"
)

// peerSecretVariable is the environment variable with the secret that instances share.
const peerSecretVariable = "CROCUSLUG_PEER_SECRET"

func edgeCommand(app *kingpin.Application) command {
	c := app.Command("edge", "Run one instance on the platform whose settings file "+platform.SettingsVariable+" names, until SIGTERM.")
	level := c.Flag("log-level", "debug, info, warn or error.").Default("info").String()
	check := c.Flag("check", "Check the settings and stop.").Bool()
	return command{c, func() error { return runEdge(*level, *check) }}
}

func runEdge(level string, check bool) error {
	cfg, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
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
	out := telemetry.NewLines(os.Stdout)
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
	e := edge.New(cfg, edgePorts(cfg), []byte(secret), clock, log)
	if err := e.Start(); err != nil {
		return err
	}
	for {
		select {
		case <-reload:
			reloadEdge(e)
			continue
		case <-term.Done():
		}
		e.Leave()
		e.Stop()
		return nil
	}
}

// reloadEdge reads the settings again. Settings that cannot be read change
// nothing.
func reloadEdge(e *edge.Edge) {
	cfg, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	e.Reload(cfg, err)
}

func edgePorts(cfg settings.Edge) edge.Ports {
	return edge.Ports{
		Store:            storeSettings(cfg),
		ConfigurationKey: platform.ConfigurationKey,
		UpstreamsPrefix:  platform.ServersPrefix,
		ReadinessPath:    platform.ReadinessPath,
		Configuration:    platform.DecodeConfiguration,
		Upstream:         platform.Ports(),
		Entry:            platform.DecodeServer,
		Describe:         platform.Describe,
		Forwarded:        platform.Forwarded,
		Returned:         platform.Returned,
		Refusal:          platform.Refusal,
	}
}

func storeSettings(cfg settings.Edge) keyvalue.Settings {
	return platform.StoreSettings(cfg.StoreAddress)
}
