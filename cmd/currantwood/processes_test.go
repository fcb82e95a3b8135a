package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/matcher"
	"github.com/currantwood/currantwood/player"
	"github.com/currantwood/currantwood/settingsreader"
)

const (
	processKey = "key-of-chambers"
	// startTimeout bounds each wait for the start of a process, for an entry's
	// readiness and for the first served requests, on a busy machine.
	startTimeout = 60 * time.Second
)

// program is a process under test.
type program struct {
	command *exec.Cmd
	// firstLine is the address that a stand-in prints first, or the log line
	// "started" of an entry or side.
	firstLine string
	// listen is decoded from the fields of firstLine that have the same names.
	// Stand-ins leave it empty.
	listen settingsreader.Listen
}

var _ = Describe("real processes", Ordered, func() {
	var (
		binary, folder          string
		logService, vmList      *program
		engines, sides, entries []*program
		service                 *program
		publish                 func(text string)
		startSide               func(upstream, group, kind, address string) *program
		startEntry              func(name, callers string) *program
		registerVM              func(vm currantwood.VM)
		play                    func(requests []player.Request, during func()) *player.Report
		streams, payments       func(from, count int) []player.Request
	)

	// start starts an entry or side if role is set, else a stand-in.
	start := func(role bool, args ...string) *program {
		p := &program{command: exec.Command(binary, args...)}
		pipe, err := p.command.StdoutPipe()
		Expect(err).NotTo(HaveOccurred())
		if role {
			pipe, err = p.command.StderrPipe()
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(p.command.Start()).To(Succeed())
		DeferCleanup(func() {
			_ = p.command.Process.Kill()
			_ = p.command.Wait()
		})
		lines := make(chan string, 1)
		go func() {
			scanner := bufio.NewScanner(pipe)
			for scanner.Scan() {
				line := scanner.Text()
				if !role || strings.Contains(line, `"started"`) {
					select {
					case lines <- line:
					default:
					}
				}
			}
		}()
		Eventually(lines).WithTimeout(startTimeout).Should(Receive(&p.firstLine), strings.Join(args, " "))
		if role {
			Expect(json.Unmarshal([]byte(p.firstLine), &p.listen)).To(Succeed())
		}
		return p
	}
	kill := func(p *program) {
		Expect(p.command.Process.Kill()).To(Succeed())
		_ = p.command.Wait()
	}

	BeforeAll(func() {
		folder = GinkgoT().TempDir()
		binary = filepath.Join(folder, "currantwood")
		out, err := exec.Command("go", "build", "-race", "-o", binary, ".").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
		logService = start(false, "standin", "log-service")
		vmList = start(false, "standin", "vm-list")
		registerVM = func(vm currantwood.VM) {
			body, err := json.Marshal(vm)
			Expect(err).NotTo(HaveOccurred())
			request, err := http.NewRequest(http.MethodPut, "http://"+vmList.firstLine+"/vms/"+string(vm.ID), bytes.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			response, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			Expect(response.StatusCode).To(BeNumerically("<", 300))
		}
		settings := func(name, extra string) string {
			file := filepath.Join(folder, name+".toml")
			text := fmt.Sprintf("process = %q\nvm = %q\nregion = \"kingston\"\nzone = \"kingston-a\"\n"+
				"[listen]\ncallers = \"127.0.0.1:0\"\nlinks = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n"+
				"[platform]\nlog-service = \"http://%s\"\nvm-list = \"http://%s\"\nvm-list-interval = \"200ms\"\n"+
				"[shutdown]\nbalancer-lag = \"200ms\"\n%s", name, "vm-"+name, logService.firstLine, vmList.firstLine, extra)
			Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
			return file
		}
		startSide = func(upstream, group, kind, address string) *program {
			side := start(true, "side", "--settings", settings("side-"+upstream, fmt.Sprintf(
				"[side]\nupstream = %q\ngroup = %q\nkind = %q\nmodel = \"court-summary\"\naddress = \"http://%s\"\n", upstream, group, kind, address)))
			registerVM(currantwood.VM{ID: currantwood.VMID("vm-side-" + upstream), Role: "side", Region: "kingston", Zone: "kingston-a",
				Address: side.listen.Links, OperatorAddress: side.listen.Operators, Upstream: currantwood.UpstreamID(upstream), Group: currantwood.GroupID(group)})
			return side
		}
		startEntry = func(name, callers string) *program {
			entry := start(true, "entry", "--settings", settings(name, ""), "--listen-callers", callers)
			registerVM(currantwood.VM{ID: currantwood.VMID("vm-" + name), Role: "entry", Region: "kingston", Zone: "kingston-a",
				Address: entry.listen.Links, OperatorAddress: entry.listen.Operators})
			return entry
		}
		for i := range 3 {
			engine := start(false, "standin", "--model", "court-summary", "engine")
			engines = append(engines, engine)
			sides = append(sides, startSide(fmt.Sprintf("summary-%d", i), "writers", "engine", engine.firstLine))
		}
		service = start(false, "standin", "service")
		sides = append(sides, startSide("desk", "desks", "service", service.firstLine))
		for i := range 2 {
			entries = append(entries, startEntry(fmt.Sprintf("entry-%d", i), "127.0.0.1:0"))
		}
		publish = func(text string) {
			file := filepath.Join(folder, "rules.txt")
			Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
			out, err := exec.Command(binary, "publish", "--first", "--by", "test", "--log-service", "http://"+logService.firstLine, "--vm-list", "http://"+vmList.firstLine, file).CombinedOutput()
			Expect(err).NotTo(HaveOccurred(), string(out))
		}
		play = func(requests []player.Request, during func()) *player.Report {
			var addresses []string
			for _, entry := range entries {
				addresses = append(addresses, "http://"+entry.listen.Callers)
			}
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
			DeferCleanup(client.CloseIdleConnections)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
			defer cancel()
			reports := make(chan *player.Report)
			go func() {
				reports <- player.New(player.Options{Entries: addresses, HTTP: client}).Play(ctx, requests)
			}()
			during()
			return <-reports
		}
		request := func(i int, path, body string) player.Request {
			return player.Request{At: time.Duration(i) * 10 * time.Millisecond, Entry: i % 2, Customer: "chambers", APIKey: processKey, Method: http.MethodPost, Path: path, Body: body}
		}
		streams = func(from, count int) (requests []player.Request) {
			for i := from; i < from+count; i++ {
				r := request(i-from, "/v1/completions", fmt.Sprintf(`{"model":"court-summary","prompt":"case %d","stream":true,"standin-tokens":200}`, i))
				r.Tokens, r.Stream = 200, true
				requests = append(requests, r)
			}
			return requests
		}
		payments = func(from, count int) (requests []player.Request) {
			for i := from; i < from+count; i++ {
				r := request(i-from, "/payments", fmt.Sprintf(`{"case":%d}`, i))
				r.OperationKey = fmt.Sprintf("filing-%d", i)
				duplicate := r
				duplicate.Entry++
				requests = append(requests, r, duplicate)
			}
			return requests
		}
	})

	It("serve once rules are published", func() {
		publish("customer chambers key-hash=" + matcher.HashAPIKey(processKey) + " weight=1 # asked-by test: test\n" +
			"rule summaries method=POST path=/v1/completions model=court-summary group=writers class=stream repeatable=yes priority=5 deadline=60s # asked-by test: test\n" +
			"rule payments method=POST path=/payments group=desks class=payment repeatable=no priority=5 deadline=30s window=24h # asked-by test: test\n")
		for _, entry := range entries {
			Eventually(func(g Gomega) {
				response, err := http.Get("http://" + entry.listen.Operators + "/readyz")
				g.Expect(err).NotTo(HaveOccurred())
				defer func() { _ = response.Body.Close() }()
				g.Expect(response.StatusCode).To(Equal(http.StatusOK))
			}).WithTimeout(startTimeout).Should(Succeed())
		}
		Eventually(func() uint64 {
			return play(append(streams(0, 2), payments(0, 2)...), func() {}).Completed
		}).WithTimeout(startTimeout).Should(BeEquivalentTo(6))
	})

	It("lose or repeat no token or operation while an entry, a side and an engine are killed", func() {
		report := play(append(streams(100, 40), payments(100, 20)...), func() {
			callers := entries[1].listen.Callers
			kill(entries[1])
			entries[1] = startEntry("entry-1", callers)
			kill(sides[0])
			sides[0] = startSide("summary-0", "writers", "engine", engines[0].firstLine)
			kill(engines[2])
		})
		var text bytes.Buffer
		Expect(report.WriteTable(&text)).To(Succeed())
		report.RepeatedRuns = repeatedRuns(service.firstLine)
		Expect(report.Violations()).To(BeZero(), text.String())
		Expect(report.Requests).To(BeEquivalentTo(80))
		Expect(report.GivenUp).To(BeZero(), text.String())
		// Requests may be refused or end early while processes are down.
		Expect(report.Completed).To(BeNumerically(">=", 40), text.String())
	})

	It("exit with code 0 on an interrupt", func() {
		for _, p := range []*program{entries[0], sides[1]} {
			Expect(p.command.Process.Signal(os.Interrupt)).To(Succeed())
			Expect(p.command.Wait()).To(Succeed())
		}
	})
})

// repeatedRuns returns how many runs a service stand-in counted beyond the first
// of each operation key.
func repeatedRuns(address string) uint64 {
	response, err := http.Get("http://" + address + "/counts")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	var counts struct {
		RunsByKey []struct {
			Key  string
			Runs uint64
		} `json:"runs-by-key"`
	}
	Expect(json.NewDecoder(response.Body).Decode(&counts)).To(Succeed())
	Expect(counts.RunsByKey).NotTo(BeEmpty())
	var repeated uint64
	for _, key := range counts.RunsByKey {
		repeated += key.Runs - 1
	}
	return repeated
}
