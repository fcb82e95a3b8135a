package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/entrystarter"
	"github.com/currantwood/currantwood/settingsreader"
	"github.com/currantwood/currantwood/sidestarter"
)

// envPrefix is the prefix of the environment variables that set the flags of
// entry and side.
const envPrefix = "CURRANTWOOD"

// process is a running entry or side.
type process interface {
	// Addresses returns the addresses that the process listens on.
	Addresses() settingsreader.Listen
	Shutdown(ctx context.Context) error
}

// overrides holds the path of the settings file and the flags that take
// precedence over its content. Empty flags override nothing.
type overrides struct {
	file, process, vm, region, zone, logLevel string
	callers, links, operators                 string
}

func (o *overrides) register(flags *flag.FlagSet) {
	flags.StringVar(&o.file, "settings", "", "settings `FILE` (TOML); required")
	flags.StringVar(&o.process, "process", "", "overrides process")
	flags.StringVar(&o.vm, "vm", "", "overrides vm")
	flags.StringVar(&o.region, "region", "", "overrides region")
	flags.StringVar(&o.zone, "zone", "", "overrides zone")
	flags.StringVar(&o.logLevel, "log-level", "", "overrides log-level")
	flags.StringVar(&o.callers, "listen-callers", "", "overrides listen.callers")
	flags.StringVar(&o.links, "listen-links", "", "overrides listen.links")
	flags.StringVar(&o.operators, "listen-operators", "", "overrides listen.operators")
}

func (o *overrides) apply(s *settingsreader.Settings) {
	override(&s.Process, o.process)
	override(&s.VM, o.vm)
	override(&s.Region, o.region)
	override(&s.Zone, o.zone)
	override(&s.LogLevel, o.logLevel)
	override(&s.Listen.Callers, o.callers)
	override(&s.Listen.Links, o.links)
	override(&s.Listen.Operators, o.operators)
}

func override(target *string, value string) {
	if value != "" {
		*target = value
	}
}

func entryCommand() *ffcli.Command {
	return roleCommand(currantwood.RoleEntry, "serve callers", func(s settingsreader.Settings, logger *zap.Logger) (process, error) {
		return entrystarter.New(entrystarter.Options{Settings: s, Logger: logger})
	})
}

func sideCommand() *ffcli.Command {
	return roleCommand(currantwood.RoleSide, "run beside one upstream", func(s settingsreader.Settings, logger *zap.Logger) (process, error) {
		return sidestarter.New(s, logger)
	})
}

// roleCommand returns the command that runs an entry or a side.
func roleCommand(role currantwood.Role, help string, start func(settingsreader.Settings, *zap.Logger) (process, error)) *ffcli.Command {
	flags := flag.NewFlagSet("currantwood "+role.String(), flag.ContinueOnError)
	var o overrides
	o.register(flags)
	return &ffcli.Command{
		Name:       role.String(),
		ShortUsage: fmt.Sprintf("currantwood %s --settings FILE [flags]", role),
		ShortHelp:  help,
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			if o.file == "" {
				return &exitError{exitUsage, errors.New("--settings FILE is required")}
			}
			settings, err := settingsreader.New(role).Read(o.file, o.apply)
			if err != nil {
				return &exitError{exitUsage, err}
			}
			return serve(ctx, settings, start)
		},
	}
}

// serve runs an entry or a side until ctx is done, then shuts it down within
// settings.Shutdown.Limit.
func serve(ctx context.Context, settings settingsreader.Settings, start func(settingsreader.Settings, *zap.Logger) (process, error)) error {
	logger, err := newLogger(settings.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	logger = logger.With(zap.String("process", settings.Process))
	p, err := start(settings, logger)
	if err != nil {
		return err
	}
	listen := p.Addresses()
	logger.Info("started", zap.String("region", settings.Region), zap.String("zone", settings.Zone),
		zap.String("callers", listen.Callers), zap.String("links", listen.Links), zap.String("operators", listen.Operators))
	<-ctx.Done()
	logger.Info("shutting down")
	shutdownCtx, cancel := context.WithTimeout(context.Background(), settings.Shutdown.Limit.AsDuration())
	defer cancel()
	err = p.Shutdown(shutdownCtx)
	logger.Info("stopped", zap.Error(err))
	return err
}

func newLogger(level string) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	config.Level = parsed
	config.EncoderConfig.TimeKey = "time"
	config.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	return config.Build()
}
