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

// TestPublishExitCodes follows one file from the first text to an unknown
// outcome, as a script would see it.
func TestPublishExitCodes(t *testing.T) {
	g := NewWithT(t)
	log := logservice.New()
	var broken atomic.Bool
	logServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		log.ServeHTTP(w, r)
		if r.Method == http.MethodPost && broken.Load() {
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
	g.Expect(publish(file)).To(Equal(exitUsage), "a file that does not say what it was edited from")
	g.Expect(publish("--first", file)).To(Equal(0))
	g.Expect(run(context.Background(), []string{"rules", "--log-service", logServer.URL, "--get", other})).To(Equal(0))
	g.Expect(read(other)).To(Equal(read(file)))

	write(file, strings.Replace(read(file), "deadline=30s", "deadline=20s", 1))
	g.Expect(publish(file)).To(Equal(0))
	g.Expect(publish(file)).To(Equal(0), "the same text again")
	write(other, strings.Replace(read(other), "deadline=30s", "deadline=25s", 1))
	g.Expect(publish(other)).To(Equal(exitFailed), "edited from a former head")
	write(other, strings.Replace(read(file), "class=lookup", "class=look", 1))
	g.Expect(publish(other)).To(Equal(exitFailed), "not a rules text")
	g.Expect(run(context.Background(), []string{"check", other})).To(Equal(exitFailed))
	g.Expect(run(context.Background(), []string{"check", file})).To(Equal(0))

	write(file, strings.Replace(read(file), "deadline=20s", "deadline=21s", 1))
	broken.Store(true)
	g.Expect(publish(file)).To(Equal(exitUnknown), "the answer is lost and the log stays down")
	broken.Store(false)
	log.SetFaults(logservice.Faults{})
	g.Expect(publish(file)).To(Equal(0), "the same file tells what became of it")
}
