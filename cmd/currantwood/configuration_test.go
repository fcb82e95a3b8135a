package main

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/platform/standin/configuration"
	"github.com/currantwood/currantwood/platform/standin/store"
	"github.com/currantwood/currantwood/platform/storeclient"
)

// The configurations of testdata are variants of configurationExample: timeoutShorter has a
// later version and a shorter timeout of the second route, groupMissing a route to a group
// that isn't listed, undecodable a text in place of a timeout, customerWithoutKey a customer
// without keys.
const (
	configurationExample = "../../platform/decoder/testdata/configuration.json"
	timeoutShorter       = "testdata/timeout-shorter.json"
	groupMissing         = "testdata/group-missing.json"
	undecodable          = "testdata/undecodable.json"
	customerWithoutKey   = "testdata/customer-without-key.json"
)

// TestCheckConfigurationExitCodes checks the exit codes that scripts rely on, for each way
// to name the configuration in force.
func TestCheckConfigurationExitCodes(t *testing.T) {
	g := NewWithT(t)
	absent := filepath.Join(t.TempDir(), "absent")
	example, err := os.ReadFile(configurationExample)
	g.Expect(err).NotTo(HaveOccurred())
	check := func(args ...string) int { return run(context.Background(), append([]string{"check"}, args...)) }
	settings := "../../platform/settingsreader/testdata/settings.toml"

	g.Expect(check(configurationExample)).To(Equal(0))
	g.Expect(check("--settings", settings, configurationExample)).To(Equal(0))
	g.Expect(check("--against", configurationExample, timeoutShorter)).To(Equal(0), "a change is no fault")
	g.Expect(check(groupMissing)).To(Equal(exitFailed))
	g.Expect(check(customerWithoutKey)).To(Equal(0), "notices are no fault")
	g.Expect(check("--against", timeoutShorter, configurationExample)).To(Equal(exitFailed), "an older version")
	g.Expect(check(undecodable)).To(Equal(exitUsage))
	g.Expect(check("--against", undecodable, timeoutShorter)).To(Equal(exitUsage))
	g.Expect(check("--against", absent, timeoutShorter)).To(Equal(exitUsage))
	g.Expect(check("--settings", undecodable, timeoutShorter)).To(Equal(exitUsage))
	g.Expect(check(absent)).To(Equal(exitUsage))
	g.Expect(check("--against", timeoutShorter, "--store", "127.0.0.1:1", timeoutShorter)).To(Equal(exitUsage))
	g.Expect(check("--json", "--log-service", "http://127.0.0.1:1", timeoutShorter)).To(Equal(exitUsage), "flags for rules and for configurations")

	s, err := store.New()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = s.Close() })
	g.Expect(check("--store", s.Address(), timeoutShorter)).To(Equal(exitUsage), "the store has no configuration")
	s.Put(storeclient.ConfigurationTopic, storeclient.ConfigurationKey, example)
	g.Expect(check("--store", s.Address(), timeoutShorter)).To(Equal(0))
	s.SetFault(store.RespondUnavailable)
	g.Expect(check("--store", s.Address(), timeoutShorter)).To(Equal(exitUsage), "the store fails")
}

// TestCheckConfigurationOutput guards against a report that lacks the changes from the
// configuration in force or isn't JSON. The golden files have STORE-ADDRESS in place of the
// address of the store.
func TestCheckConfigurationOutput(t *testing.T) {
	g := NewWithT(t)
	example, err := os.ReadFile(configurationExample)
	g.Expect(err).NotTo(HaveOccurred())
	s, err := store.New()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = s.Close() })
	s.Put(storeclient.ConfigurationTopic, storeclient.ConfigurationKey, example)
	newer, err := os.ReadFile(timeoutShorter)
	g.Expect(err).NotTo(HaveOccurred())

	for path, f := range map[string]checkFlags{
		"testdata/timeout-shorter.txt":              {store: s.Address()},
		"testdata/timeout-shorter.differences.json": {store: s.Address(), json: true},
	} {
		want, err := os.ReadFile(path)
		g.Expect(err).NotTo(HaveOccurred())
		var got bytes.Buffer
		g.Expect(checkConfiguration(context.Background(), f, "new.json", newer, &got)).To(Succeed())
		g.Expect(got.String()).To(Equal(strings.ReplaceAll(string(want), "STORE-ADDRESS", s.Address())), path)
	}
}

// BenchmarkCheckConfiguration measures a whole check of 5,000 routes against a former
// version. The target is under a second.
func BenchmarkCheckConfiguration(b *testing.B) {
	document := func(version int, timeout time.Duration) []byte {
		content, err := configuration.Record(configuration.Options{Version: version, Routes: 5000, Timeout: timeout})
		if err != nil {
			b.Fatal(err)
		}
		return content
	}
	against := filepath.Join(b.TempDir(), "in-force")
	if err := os.WriteFile(against, document(1, 900*time.Millisecond), 0o600); err != nil {
		b.Fatal(err)
	}
	content := document(2, 800*time.Millisecond)
	for b.Loop() {
		if err := checkConfiguration(context.Background(), checkFlags{against: against}, "new.json", content, io.Discard); err != nil {
			b.Fatal(err)
		}
	}
}
