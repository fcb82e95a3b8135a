package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/boottimer"
	"github.com/currantwood/currantwood/gateway"
	"github.com/currantwood/currantwood/gatewaystarter"
	"github.com/currantwood/currantwood/logwriter"
	"github.com/currantwood/currantwood/memorykeeper"
	"github.com/currantwood/currantwood/platform/decoder"
	"github.com/currantwood/currantwood/platform/headercoder"
	platformsettings "github.com/currantwood/currantwood/platform/settingsreader"
	"github.com/currantwood/currantwood/platform/storeclient"
	"github.com/currantwood/currantwood/platform/upstreamclient"
	"github.com/currantwood/currantwood/transporter"
)

const (
	// settingsPollInterval is the time between two reads of the settings file, so
	// that a change without a SIGHUP is applied, too.
	settingsPollInterval = 5 * time.Second
	// maxIdleToStore is the maximum number of idle connections to the store. Five
	// watchers, of the configuration, the directory, the crashes of requests, the
	// starts of streams and the gateways, each have at most one read in progress, and one
	// append each of crashes, of starts and of this gateway's address may be.
	maxIdleToStore = 8
	// maxIdleToUpstream is the maximum number of idle connections to an upstream.
	// At most one request for its state is in progress.
	maxIdleToUpstream = 1
)

func gatewayCommand() *ffcli.Command {
	flags := flag.NewFlagSet("gateway", flag.ContinueOnError)
	return &ffcli.Command{
		Name:       "gateway",
		ShortUsage: "currantwood gateway",
		ShortHelp:  "serve clients on a VM of the platform, with the settings file that the platform installs",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return runGateway(ctx) },
	}
}

// runGateway serves until ctx is done. On SIGHUP and every settingsPollInterval it
// compares the settings file with the one it read last, and applies what it can of a change.
func runGateway(ctx context.Context) error {
	reread := make(chan os.Signal, 1)
	signal.Notify(reread, syscall.SIGHUP)
	settings, err := platformsettings.Reader{}.Read()
	if err != nil {
		return err
	}
	logger, flush := gatewayLogger()
	defer flush()
	responses := memorykeeper.New(settings.MemoryBytes, gateway.MaxResponseBytes, nil)
	upstreams := upstreamclient.New(gatewayTransport(maxIdleToUpstream, responses), gatewayTransport(0, responses), responses)
	store := storeclient.New(settings.StoreAddress, gatewayTransport(maxIdleToStore, responses))
	process, err := gatewaystarter.New(gatewaystarter.Options{
		Settings:            settings,
		Logger:              logger,
		Store:               store,
		Writer:              store,
		Coder:               headercoder.Coder{},
		Mover:               upstreams,
		States:              upstreams,
		Responses:           responses,
		Decoder:             decoder.Decoder{},
		ConfigurationTopic:  storeclient.ConfigurationTopic,
		ConfigurationKey:    storeclient.ConfigurationKey,
		EvacuationKeyPrefix: storeclient.EvacuationKeyPrefix,
		UpstreamTopic:       storeclient.UpstreamTopic,
		CrashTopic:          storeclient.CrashTopic,
		StartTopic:          storeclient.StartTopic,
		GatewayTopic:        storeclient.GatewayTopic,
	})
	if err != nil {
		return err
	}
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-reread:
			settings = rereadSettings(logger, process, store, settings, true)
		case <-ticker.C:
			settings = rereadSettings(logger, process, store, settings, false)
		case <-ctx.Done():
			return process.Shutdown(context.Background())
		}
	}
}

// rereadSettings reads the settings file again, has process and store apply a change from last and
// returns the settings read, or last on an error. requested means that SIGHUP caused the call:
// then it is also logged that nothing has changed.
func rereadSettings(logger *zap.Logger, process *gatewaystarter.Process, store *storeclient.Client, last currantwood.GatewaySettings, requested bool) currantwood.GatewaySettings {
	read, err := platformsettings.Reader{}.Read()
	if err != nil {
		logger.Error("cannot read settings, keeping the current ones", zap.Error(err))
		return last
	}
	applied, waiting := read.ChangesFrom(last)
	if requested || len(applied)+len(waiting) > 0 {
		logger.Info("settings read again", zap.Bool("asked", requested), zap.Strings("applied", applied), zap.Strings("at-next-start", waiting))
	}
	process.ApplySettings(read)
	if store.SetAddress(read.StoreAddress) {
		logger.Info("address of the store changed", zap.String("address", read.StoreAddress))
	}
	return read
}

// gatewayTransport returns a transport for the store or for the control endpoints of the
// upstreams. It keeps up to maxIdlePerHost idle connections to each host; with 0, each request
// has a connection of its own. Clients' requests use separate connections. memory bounds what
// is kept of responses.
func gatewayTransport(maxIdlePerHost int, memory *memorykeeper.Keeper) *transporter.Transport {
	return transporter.New(transporter.Options{Now: boottimer.Clock{}.Now, Coder: headercoder.Coder{}, Memory: memory, MaxIdle: maxIdlePerHost})
}

// gatewayLogger returns a logger that writes JSON lines to standard output
// without blocking, and a function that flushes it.
func gatewayLogger() (*zap.Logger, func()) {
	writer := logwriter.New(os.Stdout)
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), writer, zap.InfoLevel)
	return zap.New(logwriter.WithoutStackTraces(core)), func() { _ = writer.Sync() }
}
