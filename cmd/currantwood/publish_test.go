package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood/standin/logservice"
	"github.com/currantwood/currantwood/standin/sites"
	"github.com/currantwood/currantwood/standin/vmlist"
)

// TestPublishExitCodes checks the exit codes that scripts rely on, from the first
// publication of a file to an unknown outcome.
func TestPublishExitCodes(t *testing.T) {
	g := NewWithT(t)
	log := logservice.New()
	var loseResponses atomic.Bool
	logServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		log.ServeHTTP(w, r)
		if r.Method == http.MethodPost && loseResponses.Load() {
			log.SetFaults(logservice.Faults{Down: true})
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(logServer.Close)
	listServer := httptest.NewServer(vmlist.New())
	t.Cleanup(listServer.Close)

	file := filepath.Join(t.TempDir(), "rules")
	other := filepath.Join(t.TempDir(), "other")
	write := func(name, text string) { g.Expect(os.WriteFile(name, []byte(text), 0o600)).To(Succeed()) }
	read := func(name string) string {
		text, err := os.ReadFile(name)
		g.Expect(err).NotTo(HaveOccurred())
		return string(text)
	}
	publish := func(args ...string) int {
		return run(context.Background(), append([]string{"publish", "--log-service", logServer.URL, "--vm-list", listServer.URL, "--by", "Ann", "--wait", "1s"}, args...))
	}

	write(file, sites.Harbourline().Rules)
	g.Expect(publish(file)).To(Equal(exitUsage), "a file without a stamp")
	g.Expect(publish("--first", file)).To(Equal(0))
	g.Expect(run(context.Background(), []string{"rules", "--log-service", logServer.URL, "--get", other})).To(Equal(0))
	g.Expect(read(other)).To(Equal(read(file)))

	write(file, strings.Replace(read(file), "deadline=30s", "deadline=20s", 1))
	g.Expect(publish(file)).To(Equal(0))
	g.Expect(publish(file)).To(Equal(0), "the same text again")
	write(other, strings.Replace(read(other), "deadline=30s", "deadline=25s", 1))
	g.Expect(publish(other)).To(Equal(exitFailed), "edited from an older head")
	write(other, strings.Replace(read(file), "class=lookup", "class=look", 1))
	g.Expect(publish(other)).To(Equal(exitFailed), "invalid rules")
	g.Expect(run(context.Background(), []string{"check", other})).To(Equal(exitFailed))
	g.Expect(run(context.Background(), []string{"check", file})).To(Equal(0))

	write(file, strings.Replace(read(file), "deadline=20s", "deadline=21s", 1))
	loseResponses.Store(true)
	g.Expect(publish(file)).To(Equal(exitOutcomeUnknown), "the response is lost and the log service stays down")
	loseResponses.Store(false)
	log.SetFaults(logservice.Faults{})
	g.Expect(publish(file)).To(Equal(0), "publishing the same file again finds out the outcome")
}
