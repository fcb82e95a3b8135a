package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/platform/standin/store"
	"github.com/currantwood/currantwood/platform/storeclient"
)

const configurationExample = "../../platform/decoder/testdata/configuration.json"

// TestCheckConfigurationExitCodes checks the exit codes that scripts rely on, for each way
// to name the configuration in force.
func TestCheckConfigurationExitCodes(t *testing.T) {
	g := NewWithT(t)
	directory := t.TempDir()
	example, err := os.ReadFile(configurationExample)
	g.Expect(err).NotTo(HaveOccurred())
	write := func(name string, change ...string) string {
		path := filepath.Join(directory, name)
		g.Expect(os.WriteFile(path, []byte(strings.NewReplacer(change...).Replace(string(example))), 0o600)).To(Succeed())
		return path
	}
	check := func(args ...string) int { return run(context.Background(), append([]string{"check"}, args...)) }
	newer := write("newer", `"version":7`, `"version":8`, `"timeoutMs":39000`, `"timeoutMs":9000`)
	faulty := write("faulty", `"service":"s-2","maxAttempts":2`, `"service":"s-3","maxAttempts":2`)
	undecodable := write("undecodable", `"timeoutMs":800.5`, `"timeoutMs":"800.5"`)
	settings := "../../platform/settingsreader/testdata/settings.toml"

	g.Expect(check(configurationExample)).To(Equal(0))
	g.Expect(check("--settings", settings, configurationExample)).To(Equal(0))
	g.Expect(check("--against", configurationExample, newer)).To(Equal(0), "a change is no fault")
	g.Expect(check(faulty)).To(Equal(exitFailed))
	g.Expect(check("--against", newer, configurationExample)).To(Equal(exitFailed), "an older version")
	g.Expect(check(undecodable)).To(Equal(exitUsage))
	g.Expect(check("--against", undecodable, newer)).To(Equal(exitUsage))
	g.Expect(check("--against", filepath.Join(directory, "absent"), newer)).To(Equal(exitUsage))
	g.Expect(check("--settings", undecodable, newer)).To(Equal(exitUsage))
	g.Expect(check(filepath.Join(directory, "absent"))).To(Equal(exitUsage))
	g.Expect(check("--against", newer, "--store", "127.0.0.1:1", newer)).To(Equal(exitUsage))
	g.Expect(check("--json", "--log-service", "http://127.0.0.1:1", newer)).To(Equal(exitUsage), "flags for rules and for configurations")

	s, err := store.New()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = s.Close() })
	g.Expect(check("--store", s.Address(), newer)).To(Equal(exitUsage), "the store has no configuration")
	s.Put(storeclient.ConfigurationTopic, storeclient.ConfigurationKey, example)
	g.Expect(check("--store", s.Address(), newer)).To(Equal(0))
	s.SetFault(store.RespondUnavailable)
	g.Expect(check("--store", s.Address(), newer)).To(Equal(exitUsage), "the store fails")
}

// TestCheckConfigurationOutput guards against a report that lacks the changes from the
// configuration in force or isn't JSON.
func TestCheckConfigurationOutput(t *testing.T) {
	g := NewWithT(t)
	example, err := os.ReadFile(configurationExample)
	g.Expect(err).NotTo(HaveOccurred())
	s, err := store.New()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = s.Close() })
	s.Put(storeclient.ConfigurationTopic, storeclient.ConfigurationKey, example)
	newer := bytes.Replace(example, []byte(`"version":7`), []byte(`"version":8`), 1)
	newer = bytes.Replace(newer, []byte(`"timeoutMs":39000`), []byte(`"timeoutMs":9000`), 1)

	var text bytes.Buffer
	g.Expect(checkConfiguration(context.Background(), checkFlags{store: s.Address()}, "new.json", newer, &text)).To(Succeed())
	g.Expect(text.String()).To(Equal("change: new.json:1: routes[1].timeoutMs: requests to a.example/plans/ that run longer than 9s are cut off (before: 39s) (timeout-shorter)\n" +
		"new.json: version 8, 4 routes, 2 groups, 2 customers; findings: 0; changes from store " + s.Address() + ": 1\n"))

	var out bytes.Buffer
	g.Expect(checkConfiguration(context.Background(), checkFlags{store: s.Address(), json: true}, "new.json", newer, &out)).To(Succeed())
	var report struct {
		Findings    []any
		Differences []struct{ Code, File, Key string }
	}
	g.Expect(json.Unmarshal(out.Bytes(), &report)).To(Succeed())
	g.Expect(report.Findings).To(BeEmpty())
	g.Expect(report.Differences).To(ConsistOf(struct{ Code, File, Key string }{"timeout-shorter", "new.json", "routes[1].timeoutMs"}))
}

// BenchmarkCheckConfiguration measures a whole check of 5,000 routes against a former
// version. The target is under a second.
func BenchmarkCheckConfiguration(b *testing.B) {
	document := func(version, timeout int) []byte {
		var text bytes.Buffer
		fmt.Fprintf(&text, "{\"version\": %d, \"services\": [{\"name\": \"s\"}], \"tenants\": [{\"name\": \"ada\", \"apiKeys\": [\"k\"]}], \"routes\": [", version)
		for i := range 5000 {
			fmt.Fprintf(&text, "%.*s\n{\"name\": \"r-%d\", \"host\": \"a.example\", \"pathPrefix\": \"/%d/\", \"kind\": \"safe\", \"timeoutMs\": %d, \"service\": \"s\"}", min(i, 1), ",", i, i, timeout)
		}
		text.WriteString("]}")
		return text.Bytes()
	}
	against := filepath.Join(b.TempDir(), "in-force")
	if err := os.WriteFile(against, document(1, 900), 0o600); err != nil {
		b.Fatal(err)
	}
	content := document(2, 800)
	for b.Loop() {
		if err := checkConfiguration(context.Background(), checkFlags{against: against}, "new.json", content, io.Discard); err != nil {
			b.Fatal(err)
		}
	}
}
