package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood/demonstrator"
	"github.com/currantwood/currantwood/injector"
	"github.com/currantwood/currantwood/player"
	"github.com/currantwood/currantwood/standin/sites"
)

const (
	// demoReadyTimeout bounds the wait until a site is ready.
	demoReadyTimeout = 30 * time.Second
	// demoDrainTimeout bounds how long requests may continue after the end of the
	// trace.
	demoDrainTimeout = 60 * time.Second
	// defaultDemoRate is the default of --rate, in requests per second at each
	// site.
	defaultDemoRate = 20.0
)

// demoFlags holds the flags of demo.
type demoFlags struct {
	duration time.Duration
	rate     float64
	seed     uint64
	faults   string
	verbose  bool
}

func demoCommand() *ffcli.Command {
	flags := flag.NewFlagSet("currantwood demo", flag.ContinueOnError)
	var f demoFlags
	flags.DurationVar(&f.duration, "for", 0, "play a mixed trace for `DURATION` and exit; 0 serves until interrupted")
	flags.Float64Var(&f.rate, "rate", defaultDemoRate, "`REQUESTS` per second at each site")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of the trace and of the faults")
	flags.StringVar(&f.faults, "faults", "none", "none or all: kill processes, cut links, freeze engines and interrupt the log service and the VM list, among others, during the trace")
	flags.BoolVar(&f.verbose, "verbose", false, "log to standard error")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "currantwood demo [flags]",
		ShortHelp:  "run the systems of two example sites, Harbourline and Cooperative, on the loopback interface with stand-ins",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			return demo(ctx, f, os.Stdout, os.Stderr)
		},
	}
}

func demo(ctx context.Context, f demoFlags, out, progress io.Writer) error {
	if f.faults != "none" && f.faults != "all" {
		return &exitError{exitUsage, errors.Errorf("demo: --faults %s: expected none or all", f.faults)}
	}
	logger := zap.NewNop()
	if f.verbose {
		var err error
		if logger, err = newLogger("info"); err != nil {
			return err
		}
	}
	var running []*demoSite
	defer func() {
		for _, s := range running {
			s.system.Close()
		}
	}()
	for _, site := range []sites.Site{sites.Harbourline(), sites.Cooperative()} {
		s, err := startSite(ctx, site, logger)
		if err != nil {
			return err
		}
		running = append(running, s)
		s.printInstructions(progress)
	}
	if f.duration == 0 {
		_, _ = fmt.Fprintln(progress, "serving until interrupted")
		<-ctx.Done()
		return nil
	}
	return playTraces(ctx, f, running, out, progress)
}

// demoSite is the running system of one site.
type demoSite struct {
	site   sites.Site
	system *demonstrator.Demonstrator
	logger *zap.Logger
}

// startSite starts the system of a site and waits until it is ready.
func startSite(ctx context.Context, site sites.Site, logger *zap.Logger) (*demoSite, error) {
	options := demonstrator.Options{
		Name:             site.Name,
		Regions:          site.Regions,
		EntriesPerRegion: 1,
		RegionDelay:      site.RegionDelay,
		ZoneDelay:        site.ZoneDelay,
		Rules:            site.Rules,
		Logger:           logger,
	}
	for _, g := range site.Upstreams {
		options.Groups = append(options.Groups, demonstrator.Group{Name: g.Group, Kind: g.Kind, Model: g.Model, Count: g.Count})
	}
	system, err := demonstrator.New(options)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, demoReadyTimeout)
	defer cancel()
	if err := system.WaitReady(ctx); err != nil {
		system.Close()
		return nil, err
	}
	return &demoSite{site: site, system: system, logger: logger}, nil
}

// printInstructions prints the site's addresses and commands to try.
func (s *demoSite) printInstructions(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s: %d upstreams, %d entries\n", s.site.Name, len(s.system.Upstreams), len(s.system.Entries))
	_, _ = fmt.Fprintf(w, "  currantwood report --vm-list %s\n", s.system.VMListAddress())
	_, _ = fmt.Fprintf(w, "  currantwood rules --log-service %s --vm-list %s --get FILE\n", s.system.LogAddress(), s.system.VMListAddress())
	for _, entry := range s.system.Entries {
		_, _ = fmt.Fprintf(w, "  entry in %s: http://%s  operators: http://%s\n", entry.Region, entry.ClientAddress(), entry.OperatorAddress())
	}
	_, _ = fmt.Fprintf(w, "  curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"prompt\":\"fees of case 12\",\"stream\":true}'\n",
		s.system.Entries[0].ClientAddress(), s.site.Keys[0].Key, s.site.Upstreams[0].Model)
}

// playTraces plays the mixed trace at every site and prints the merged report.
// It returns an error if the report has violations: duplicated or lost tokens,
// repeated operations and the other counts that must be zero.
func playTraces(ctx context.Context, f demoFlags, running []*demoSite, out, progress io.Writer) error {
	playCtx, cancel := context.WithTimeout(ctx, f.duration+demoDrainTimeout)
	defer cancel()
	total := player.NewReport()
	reports := make(chan *player.Report)
	faultCtx, stopFaults := context.WithTimeout(playCtx, f.duration)
	defer stopFaults()
	var faults sync.WaitGroup
	for i, s := range running {
		if f.faults == "all" {
			faults.Go(func() { s.injectFaults(faultCtx, f.seed+uint64(i), progress) })
		}
		go func() { reports <- s.play(playCtx, f, uint64(i), progress) }()
	}
	for range running {
		total.Merge(<-reports)
	}
	faults.Wait()
	if err := total.WriteTable(out); err != nil {
		return err
	}
	if err := total.WriteJSON(out); err != nil {
		return err
	}
	if n := total.Violations(); n > 0 {
		return errors.Errorf("demo: %d violations; see the rows \"must be zero\" of the report", n)
	}
	return nil
}

// injectFaults injects faults until ctx is done and prints how often each was
// injected.
func (s *demoSite) injectFaults(ctx context.Context, seed uint64, progress io.Writer) {
	i := injector.New(s.system, seed, s.logger)
	i.Run(ctx)
	for _, count := range i.Counts() {
		_, _ = fmt.Fprintf(progress, "%s: %s brought %d times\n", s.site.Name, count.Fault, count.Times)
	}
}

// play plays the site's mixed trace and adds the counts of the stand-ins to the
// report. rngStream selects the trace's random sequence.
func (s *demoSite) play(ctx context.Context, f demoFlags, rngStream uint64, progress io.Writer) *player.Report {
	var entries []string
	for _, entry := range s.system.Entries {
		entries = append(entries, "http://"+entry.ClientAddress())
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = 512
	defer transport.CloseIdleConnections()
	p := player.New(player.Options{
		Entries: entries,
		HTTP:    &http.Client{Transport: transport},
		Progress: func(ended int) {
			if ended%100 == 0 {
				_, _ = fmt.Fprintf(progress, "%s: %d requests ended\n", s.site.Name, ended)
			}
		},
	})
	before := s.system.Preemptions()
	report := p.Play(ctx, mixedTrace(s.site, f, rngStream))
	report.Preemptions = s.system.Preemptions() - before
	report.RepeatedRuns = s.system.RepeatedRuns()
	report.NotRunButRan = s.system.CountRan(report.NotRunOperations())
	return report
}
