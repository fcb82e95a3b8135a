package main

import (
	"bytes"
	"context"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
	configcomparer "github.com/currantwood/currantwood/configcheck/comparer"
	"github.com/currantwood/currantwood/configcheck/linter"
	"github.com/currantwood/currantwood/configcheck/renderer"
	"github.com/currantwood/currantwood/gateway"
	"github.com/currantwood/currantwood/memorykeeper"
	"github.com/currantwood/currantwood/platform/decoder"
	"github.com/currantwood/currantwood/platform/settingsreader"
	"github.com/currantwood/currantwood/platform/storeclient"
)

// checkConfiguration checks a gateway configuration and prints what it finds. Input that
// can't be read ends with exitUsage, findings other than notices with exitFailed.
func checkConfiguration(ctx context.Context, f checkFlags, file string, content []byte, out io.Writer) error {
	document, err := decoder.Decoder{}.Document(file, content)
	if err != nil {
		return reportUndecoded(f, file, err, out)
	}
	options, err := lintOptions(f.settings)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	report := renderer.Report{File: file, Version: document.Version, Routes: len(document.Routes), Groups: len(document.GroupList), Customers: len(document.Customers)}
	name, inForce, err := configurationInForce(ctx, f)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	if name != "" {
		former, err := decoder.Decoder{}.Document(name, inForce)
		if err != nil {
			return &exitError{exitUsage, errors.Wrap(err, "check: configuration in force")}
		}
		report.Against = name
		report.Differences = configcomparer.Comparer{}.Compare(former, document)
		// The document in force itself is no mistake, although gateways ignore it.
		if !bytes.Equal(inForce, content) {
			options.InForce = &former.Configuration
		}
	}
	report.Findings = linter.New(options).Lint(document)
	if err := (renderer.Renderer{JSON: f.json}).Render(out, report); err != nil {
		return err
	}
	if report.Errors() > 0 {
		return &exitError{exitFailed, nil}
	}
	return nil
}

// reportUndecoded prints why a document can't be decoded as its only finding.
func reportUndecoded(f checkFlags, file string, err error, out io.Writer) error {
	var undecoded *currantwood.DocumentError
	if !errors.As(err, &undecoded) {
		return &exitError{exitUsage, err}
	}
	finding := linter.NewFinding(linter.NotDecoded, undecoded.Position, undecoded.Reason)
	if err := (renderer.Renderer{JSON: f.json}).Render(out, renderer.Report{File: file, Findings: []linter.Finding{finding}}); err != nil {
		return err
	}
	return &exitError{exitUsage, nil}
}

// lintOptions reads the settings file at a path; an empty path leaves them out.
func lintOptions(path string) (linter.Options, error) {
	if path == "" {
		return linter.Options{}, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return linter.Options{}, errors.Wrap(err, "check: read settings file")
	}
	settings, err := settingsreader.Reader{}.Parse(path, data)
	if err != nil {
		return linter.Options{}, errors.Wrap(err, "check")
	}
	return linter.Options{
		Settings:     &settings,
		RevocationAt: settingsreader.Reader{}.RevocationPosition(path, data),
		BodyMemory:   gateway.BodyMemory(settings.MemoryBytes),
	}, nil
}

// configurationInForce returns the record in force and its name, from the file or the store
// that the flags name. The name is empty if they name none.
func configurationInForce(ctx context.Context, f checkFlags) (string, []byte, error) {
	if f.against != "" {
		content, err := os.ReadFile(f.against)
		return f.against, content, errors.Wrap(err, "check: read configuration in force")
	}
	if f.store == "" {
		return "", nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	batch, err := storeclient.New(f.store, gatewayTransport(maxIdleToStore, memorykeeper.New(0, gateway.MaxResponseBytes, nil))).Newest(ctx, storeclient.ConfigurationTopic)
	if err != nil {
		return "", nil, errors.Wrap(err, "check: read configuration in force")
	}
	for _, record := range batch.Records {
		if record.Key == storeclient.ConfigurationKey {
			return "store " + f.store, record.Value, nil
		}
	}
	return "", nil, errors.Errorf("check: the store %s has no configuration", f.store)
}
