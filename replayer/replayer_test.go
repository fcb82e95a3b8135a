package replayer_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/currantwood/currantwood/proof/redlister"
	"github.com/currantwood/currantwood/replayer"
	"github.com/currantwood/currantwood/tracer"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestReplayer(t *testing.T) {
	RegisterFailHandler(Fail)
	redlister.Skipper{}.RunSpecs(t, "replayer")
}

// The seed and the number of requests of the traces in testdata.
const (
	goldenSeed     = 1
	goldenRequests = 800
)

// expectGolden compares got with a file in testdata, or writes the file if -update
// is set.
func expectGolden(name string, got []byte) {
	path := filepath.Join("testdata", name)
	if *update {
		Expect(os.WriteFile(path, got, 0o644)).To(Succeed())
		return
	}
	want, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(got)).To(Equal(string(want)), "%s differs; if the change is intended, run the test with -update", path)
}

func readTrace(profile string) *tracer.Trace {
	file, err := os.Open(filepath.Join("testdata", profile+".trace.jsonl"))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = file.Close() }()
	trace, err := tracer.Read(file)
	Expect(err).NotTo(HaveOccurred())
	return trace
}

func replay(trace *tracer.Trace, policy string, load float64) replayer.Result {
	r, err := replayer.New(trace, replayer.Options{Policy: policy, Load: load, Seed: 1})
	Expect(err).NotTo(HaveOccurred())
	return r.Run()
}

// replayAll replays a trace with two policies at each load and returns the results
// as JSON Lines.
func replayAll(trace *tracer.Trace) []byte {
	loads := []float64{0.7, 1.0, 1.5}
	policyNames := []string{"two-choices", "currantwood"}
	results := make([]replayer.Result, len(loads)*len(policyNames))
	var group errgroup.Group
	group.SetLimit(3)
	for i := range results {
		group.Go(func() error {
			r, err := replayer.New(trace, replayer.Options{Policy: policyNames[i%2], Load: loads[i/2], Seed: 1})
			if err == nil {
				results[i] = r.Run()
			}
			return err
		})
	}
	Expect(group.Wait()).To(Succeed())
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	for i := range results {
		Expect(encoder.Encode(results[i])).To(Succeed())
	}
	return lines.Bytes()
}

var _ = Describe("Replayer", func() {
	DescribeTable("reproduces the golden trace and results",
		func(profile string) {
			trace, err := tracer.Generate(tracer.GenerateOptions{Profile: profile, Seed: goldenSeed, Requests: goldenRequests})
			Expect(err).NotTo(HaveOccurred())
			var file bytes.Buffer
			Expect(trace.Write(&file)).To(Succeed())
			expectGolden(profile+".trace.jsonl", file.Bytes())

			trace = readTrace(profile)
			expectGolden(profile+".outcome.jsonl", replayAll(trace))
		},
		profiles(),
	)

	DescribeTable("accounts for every request under every policy",
		func(policy string) {
			result := replay(readTrace("reclaimed-third"), policy, 1.5)
			Expect(result.Completed + result.Expired + result.Lost).To(Equal(result.Requests))
		},
		policies(),
	)

	DescribeTable("rejects",
		func(options replayer.Options, want string) {
			_, err := replayer.New(readTrace("one-flood"), options)
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry("an unknown policy", replayer.Options{Policy: "none", Load: 1}, "round-robin"),
		Entry("a load of 0", replayer.Options{Policy: "oracle"}, "load 0"),
	)
})

func profiles() (entries []TableEntry) {
	for _, name := range tracer.Profiles() {
		entries = append(entries, Entry(name, name))
	}
	return entries
}

func policies() (entries []TableEntry) {
	for _, name := range replayer.Policies() {
		entries = append(entries, Entry(name, name))
	}
	return entries
}
