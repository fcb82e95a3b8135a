package operations_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/demonstrator"
	"github.com/currantwood/currantwood/standin/logservice"
	"github.com/currantwood/currantwood/standin/service"
)

// sideSettings is the format of the settings file of a side that runs as a process.
const sideSettings = `
process = "frozen-side"
vm = "frozen-vm"
region = %q
zone = "zone-a"
[listen]
links = %q
operators = "127.0.0.1:0"
[platform]
log-service = %q
vm-list = %q
[side]
upstream = %q
group = "desks"
kind = "service"
address = %q
`

// freeAddress returns an address on which nothing listens.
func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// startSideProcess replaces the side of a desk, which runs in the test's process, by
// a separate process, so that a test can suspend it.
func (env *environment) startSideProcess(binary string, desk *demonstrator.Upstream) *os.Process {
	desk.Side.Kill()
	server := httptest.NewServer(desk.Service)
	DeferCleanup(server.Close)
	links := freeAddress()
	file := filepath.Join(GinkgoT().TempDir(), "side.toml")
	text := fmt.Sprintf(sideSettings, desk.Region, links, env.LogAddress(), env.VMListAddress(), desk.ID, server.URL)
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	command := exec.Command(binary, "side", "--settings", file)
	Expect(command.Start()).To(Succeed())
	DeferCleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	env.VMs.Put(currantwood.VM{
		ID: "vm-" + currantwood.VMID(desk.ID) + "-side", Role: currantwood.RoleSide.String(), Region: desk.Region,
		Zone: "zone-a", Address: links, Upstream: desk.ID, Group: "desks",
	})
	Eventually(env.Entries[0].LinkedSideCount).WithTimeout(waitTimeout).Should(Equal(len(env.Upstreams)))
	env.waitUntilQuiet()
	return command.Process
}

// suspend stops a process and waits until it is stopped: on a busy machine it may run
// on for a while after the signal was sent.
func suspend(process *os.Process) {
	Expect(process.Signal(syscall.SIGSTOP)).To(Succeed())
	Eventually(func() string {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.Pid))
		Expect(err).NotTo(HaveOccurred())
		_, rest, _ := strings.Cut(string(status), ") ")
		return rest[:1]
	}).WithTimeout(waitTimeout).WithPolling(time.Millisecond).Should(Equal("T"))
}

var _ = Describe("an owner of an operation that is suspended until after the deadline", Ordered, func() {
	var binary string
	BeforeAll(func() {
		var err error
		binary, err = gexec.Build("github.com/currantwood/currantwood/cmd/currantwood")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(gexec.CleanupBuildArtifacts)
	})

	It("sends nothing when it resumes and frees the key if it was suspended between intent and dispatch", func() {
		env := newEnvironment()
		side := env.startSideProcess(binary, env.desks()[0])
		env.Log.SetFaults(logservice.Faults{ReadLagMS: 60_000})
		appends := env.operationAppends()
		responses := make(chan response, 1)
		go func() {
			defer GinkgoRecover()
			responses <- env.pay(0, "k", paymentBody)
		}()
		Eventually(env.operationAppends).WithTimeout(waitTimeout).Should(Equal(appends + 1))
		suspend(side)
		env.Log.SetFaults(logservice.Faults{})
		var got response
		Eventually(responses).WithTimeout(waitTimeout).Should(Receive(&got))
		Expect(got.Ran).To(Equal("unknown"))
		Expect(env.pay(1, "k", paymentBody).Ran).To(Equal("unknown"))
		Expect(side.Signal(syscall.SIGCONT)).To(Succeed())
		Expect(env.payUntilServed(1, "k").Replayed).To(BeFalse())
		Consistently(func() int { return env.runs("k") }).WithTimeout(paymentDeadline / 2).Should(Equal(1))
		env.check()
	})

	It("records the outcome when it resumes if it was suspended after dispatch", func() {
		env := newEnvironment()
		side := env.startSideProcess(binary, env.desks()[0])
		env.setDeskFaults(service.Faults{Freeze: true})
		_, responses := env.startPayment(0, "k")
		suspend(side)
		env.setDeskFaults(service.Faults{})
		var got response
		Eventually(responses).WithTimeout(waitTimeout).Should(Receive(&got))
		Expect(got.Ran).To(Equal("unknown"))
		Expect(env.runs("k")).To(Equal(1))
		Expect(side.Signal(syscall.SIGCONT)).To(Succeed())
		Eventually(func() int { return env.queryOperation(1, got.Operation).Status }).WithTimeout(waitTimeout).
			WithPolling(50 * time.Millisecond).Should(Equal(http.StatusOK))
		Expect(env.payUntilServed(0, "k").Replayed).To(BeTrue())
		env.check()
	})
})
