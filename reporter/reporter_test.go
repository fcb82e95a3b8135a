package reporter_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/observer"
	"github.com/currantwood/currantwood/operatorserver"
	"github.com/currantwood/currantwood/reporter"
	"github.com/currantwood/currantwood/settingsreader"
)

// now is when all requests arrive and when the report is made.
var now = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// vms is a VM list with fixed content.
type vms []currantwood.VM

func (v vms) VMs(context.Context) ([]currantwood.VM, error) { return v, nil }

// entry starts a server for the snapshot of an entry that began to count at started
// and whose requests got their first tokens after the given times.
func entry(id currantwood.VMID, started time.Time, firstTokens ...time.Duration) currantwood.VM {
	o := observer.New(started, []settingsreader.Objective{{
		Name: "first-token", Measure: "first-token", Bound: settingsreader.Duration(370 * time.Millisecond),
		Share: 0.95, Window: settingsreader.Duration(720 * time.Hour),
	}})
	for _, at := range firstTokens {
		o.Begin(now, "chambers", "summaries").RecordTokens(now.Add(at))
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		snapshot, err := o.Snapshot(now, string(id))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		operatorserver.WriteJSON(w, snapshot)
	}))
	DeferCleanup(server.Close)
	return currantwood.VM{ID: id, Role: "entry", OperatorAddress: strings.TrimPrefix(server.URL, "http://")}
}

var _ = Describe("Reporter", func() {
	var report reporter.Report

	BeforeEach(func() {
		list := vms{
			entry("vm-1", now.Add(-time.Hour), 100*time.Millisecond, 200*time.Millisecond, 400*time.Millisecond),
			entry("vm-2", now.Add(-time.Minute), 100*time.Millisecond),
			{ID: "vm-3", Role: "entry", OperatorAddress: "127.0.0.1:1"},
			{ID: "vm-4", Role: "side", OperatorAddress: "127.0.0.1:1"},
		}
		var err error
		report, err = reporter.New(reporter.Options{VMs: list, HTTP: http.DefaultClient}).Report(context.Background(), now)
		Expect(err).NotTo(HaveOccurred())
	})

	It("merges the entries and computes the burn rates", func() {
		var table bytes.Buffer
		Expect(report.WriteTable(&table)).To(Succeed())
		golden, err := os.ReadFile("testdata/table.golden")
		Expect(err).NotTo(HaveOccurred())
		Expect(table.String()).To(Equal(string(golden)))
	})

	It("lists an entry that can't be read", func() {
		Expect(report.Unanswered).To(ConsistOf(ContainSubstring("entry vm-3")))
	})

	It("renders one page without external resources", func() {
		var page bytes.Buffer
		Expect(report.WriteHTML(&page)).To(Succeed())
		Expect(strings.Count(page.String(), "<svg")).To(Equal(2))
		Expect(page.String()).To(ContainSubstring("Not in this report"))
		Expect(page.String()).NotTo(MatchRegexp(`(src|href)="http`))
	})
})
