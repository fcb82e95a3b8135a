package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/replayer"
	"github.com/currantwood/currantwood/tracer"
)

// replayFlags holds the flags of replay.
type replayFlags struct {
	trace    string
	profile  string
	requests int
	memory   int64
	write    string
	policy   string
	load     string
	seed     uint64
	json     bool
}

func replayCommand() *ffcli.Command {
	var f replayFlags
	flags := flag.NewFlagSet("currantwood replay", flag.ContinueOnError)
	flags.StringVar(&f.trace, "trace", "", "`FILE` with the trace to play")
	flags.StringVar(&f.profile, "profile", "", "generate a trace of the profile `NAME` instead: "+strings.Join(tracer.Profiles(), ", "))
	flags.IntVar(&f.requests, "requests", 2000, "number of requests to generate")
	flags.Int64Var(&f.memory, "memory", 0, "memory of each engine of a generated trace, in tokens; 0 takes 8000")
	flags.StringVar(&f.write, "write", "", "write the trace to this `FILE` instead of playing it")
	flags.StringVar(&f.policy, "policy", "all", "`NAME` of a policy, or all: "+strings.Join(replayer.Policies(), ", "))
	flags.StringVar(&f.load, "load", "0.7,1.0,1.5", "offered loads, as multiples of the trace's own, which is the engines' capacity for a generated trace")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of all random numbers")
	flags.BoolVar(&f.json, "json", false, "print one JSON object for each policy and load")
	return &ffcli.Command{
		Name:       "replay",
		ShortUsage: "currantwood replay --trace FILE [flags]",
		ShortHelp:  "simulate the routing and admission of a trace's requests and compare policies",
		LongHelp:   "It uses no network and no clock: the same trace, policy, load and seed print the same bytes.",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 || (f.trace == "") == (f.profile == "") {
				return &exitError{exitUsage, errors.New("replay: give either --trace FILE or --profile NAME")}
			}
			return f.run(os.Stdout)
		},
	}
}

func (f *replayFlags) run(out io.Writer) error {
	trace, err := f.read()
	if err != nil {
		return err
	}
	if f.write != "" {
		return writeTrace(f.write, trace)
	}
	loads, err := parseLoads(f.load)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	results, err := f.play(trace, loads)
	if err != nil {
		return err
	}
	if f.json {
		return printJSON(out, results)
	}
	return printResults(out, results)
}

func (f *replayFlags) read() (*tracer.Trace, error) {
	if f.profile != "" {
		return tracer.Generate(tracer.GenerateOptions{
			Profile:      f.profile,
			Seed:         f.seed,
			Requests:     f.requests,
			MemoryTokens: currantwood.TokenCount(f.memory),
		})
	}
	file, err := os.Open(f.trace)
	if err != nil {
		return nil, errors.Wrap(err, "replay")
	}
	defer func() { _ = file.Close() }()
	trace, err := tracer.Read(file)
	return trace, errors.Wrapf(err, "replay: %s", f.trace)
}

func (f *replayFlags) play(trace *tracer.Trace, loads []float64) ([]replayer.Result, error) {
	policies := []string{f.policy}
	if f.policy == "all" {
		policies = replayer.Policies()
	}
	var results []replayer.Result
	for _, load := range loads {
		for _, policy := range policies {
			r, err := replayer.New(trace, replayer.Options{Policy: policy, Load: load, Seed: f.seed})
			if err != nil {
				return nil, &exitError{exitUsage, err}
			}
			results = append(results, r.Run())
		}
	}
	return results, nil
}

func writeTrace(path string, trace *tracer.Trace) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "replay")
	}
	if err := trace.Write(file); err != nil {
		_ = file.Close()
		return err
	}
	return errors.Wrap(file.Close(), "replay")
}

func parseLoads(list string) ([]float64, error) {
	var loads []float64
	for _, field := range strings.Split(list, ",") {
		load, err := strconv.ParseFloat(strings.TrimSpace(field), 64)
		if err != nil || load <= 0 {
			return nil, errors.Errorf("replay: --load: %q is not a number above 0", field)
		}
		loads = append(loads, load)
	}
	return loads, nil
}

func printJSON(out io.Writer, results []replayer.Result) error {
	encoder := json.NewEncoder(out)
	for _, result := range results {
		if err := encoder.Encode(result); err != nil {
			return errors.Wrap(err, "replay: write results")
		}
	}
	return nil
}

// printResults prints a table with a row for each result. replayer.Result explains
// the columns.
func printResults(out io.Writer, results []replayer.Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "policy\tload\tgoodput\trefused\tnever\tlost\tpreempt\tstall\tstall\tstall\tfirst\tbetween\tbetween\tcheck\tfair\tcome-backs\trepeated\tacross\t")
	fmt.Fprintln(table, "\t\ttokens/s\t\tserved\t\tper 1000\tp50 ms\tp95 ms\tp99 ms\tp95 ms\tp95 ms\tp99 ms\tp99 ms\tmax/min\tserved\ttokens\tKB\t")
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%.1f\t%.0f\t%d\t%d\t%d\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.0f\t%.2f\t%.2f\t%d\t%d\t\n",
			r.Policy, r.Load, r.Goodput, r.Refused, r.Expired, r.Lost, r.PreemptionsPer1000,
			r.StallP50Ms, r.StallP95Ms, r.StallP99Ms, r.FirstTokenP95Ms, r.BetweenTokensP95Ms, r.BetweenTokensP99Ms,
			r.CheckP99Ms, r.MaxMinShareRatio, r.ClientRetriesStartedShare, r.RecomputedTokens, r.CrossRegionBytes/1000)
	}
	return table.Flush()
}
