package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/currantwood/currantwood/platform/standin/store"
)

const (
	// host is the host of all routes, and key the API key of the only tenant.
	host = "desk.example"
	key  = "key-of-ada"
	// heartbeat is the time between two writes of a worker's record.
	heartbeat = 1200 * time.Millisecond
	// startTime bounds the wait until all gateways are ready.
	startTime = 20 * time.Second
	frontPort = 8740
	readyPort = 8749
)

// deployment is a store, workers and gateways.
type deployment struct {
	trouble bool
	folder  string
	scratch string
	record  *os.File
	began   time.Time
	store   *store.Store
	network string

	mu       sync.Mutex
	workers  map[string]*worker
	gateways []*process
	version  int
	// kept are the lines on what was sent and answered.
	kept []string
	stop chan struct{}
}

// process is a process that the case started.
type process struct {
	command *exec.Cmd
	ip      string
	ended   chan struct{}
}

func newDeployment(folder string) (*deployment, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	scratch, err := os.MkdirTemp("", "third")
	if err != nil {
		return nil, err
	}
	s, err := store.New()
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	d := &deployment{
		trouble: os.Getenv("TROUBLE") != "0", folder: folder, scratch: scratch, record: record, began: time.Now(), store: s,
		network: fmt.Sprintf("127.%d.%d", 20+pid%200, 1+pid/200%250), workers: make(map[string]*worker), stop: make(chan struct{}),
	}
	go d.beat()
	d.note("trouble: %t", d.trouble)
	return d, nil
}

// note writes a line to the record and to standard output.
func (d *deployment) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  ", time.Since(d.began).Seconds()) + fmt.Sprintf(format, args...)
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Println(line)
	_, _ = fmt.Fprintln(d.record, line)
}

// putConfiguration writes the next version of the configuration.
func (d *deployment) putConfiguration(list ...route) error {
	d.version++
	var routes []map[string]any
	for _, r := range list {
		routes = append(routes, r.fields())
	}
	value, err := json.Marshal(map[string]any{
		"version": d.version, "routes": routes,
		"services": []map[string]any{
			{"name": "writers", "healthPath": "/healthz", "maxConnections": 242, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 24, "kvCapacityTokens": 34319, "kvTokenBytes": 163840, "linkMbps": 24000.0, "moves": true, "backups": true, "stride": 4, "handleS": 5.0,
			}},
			{"name": "desk", "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "ada", "apiKeys": []string{key}, "priority": 1}},
	})
	if err != nil {
		return err
	}
	d.store.Put("keyed.op", "config", value)
	return nil
}

// route is a route as the operator writes it.
type route struct {
	name, kind, service           string
	timeoutMs, targetMs, attempts int
	resume                        bool
}

func (r route) fields() map[string]any {
	return map[string]any{
		"name": r.name, "host": host, "pathPrefix": "/" + r.name + "/", "kind": r.kind, "timeoutMs": r.timeoutMs, "targetLatencyMs": r.targetMs,
		"priority": 1, "service": r.service, "maxAttempts": r.attempts, "allowAnonymous": false, "resumeStreams": r.resume, "gapAimMs": 180,
	}
}

// startGateways starts the gateways with the command of the deploy file, and waits until they
// are ready.
func (d *deployment) startGateways(count int) error {
	return d.startSeededGateways(count, d.addresses(min(3, count)), true)
}

// addresses returns the addresses of the first gateways.
func (d *deployment) addresses(count int) []string {
	var ips []string
	for i := range count {
		ips = append(ips, fmt.Sprintf("%s.%d", d.network, i+1))
	}
	return ips
}

// startSeededGateways is startGateways with the addresses of the seeds in the settings. first is
// whether the whole system starts for the first time.
func (d *deployment) startSeededGateways(count int, seeds []string, first bool) error {
	for i := range count {
		if err := d.startGateway(i, seeds, first); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTime)
	for _, g := range d.gateways {
		for !isReady(g.ip) {
			if time.Now().After(deadline) {
				return fmt.Errorf("gateway at %s isn't ready", g.ip)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.note("%d gateways ready", count)
	return nil
}

// writeSettings writes the settings of gateway i and returns the path.
func (d *deployment) writeSettings(i int, seeds []string, first bool) (string, error) {
	ip := fmt.Sprintf("%s.%d", d.network, i+1)
	var quoted []string
	for _, seed := range seeds {
		quoted = append(quoted, fmt.Sprintf("%q", seed+":8748"))
	}
	text := fmt.Sprintf(settings, i+1, ip, strings.Join(quoted, ","), first, ip, ip, ip, d.store.Address())
	path := filepath.Join(d.scratch, fmt.Sprintf("gateway-%d.toml", i+1))
	return path, os.WriteFile(path, []byte(text), 0o600)
}

func (d *deployment) startGateway(i int, seeds []string, first bool) error {
	path, err := d.writeSettings(i, seeds, first)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.scratch, fmt.Sprintf("gateway-%d.log", i+1)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command("target/currantwood", "gateway")
	command.Env = append(os.Environ(), "CURRANTWOOD_CONFIG="+path)
	command.Stdout, command.Stderr = log, log
	p, err := startProcess(command, fmt.Sprintf("%s.%d", d.network, i+1))
	if err != nil {
		return err
	}
	d.gateways = append(d.gateways, p)
	return nil
}

func startProcess(command *exec.Cmd, ip string) (*process, error) {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &process{command: command, ip: ip, ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(p.ended)
	}()
	return p, nil
}

// signal sends a signal to the process.
func (p *process) signal(s os.Signal) { _ = p.command.Process.Signal(s) }

func isReady(ip string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + net.JoinHostPort(ip, fmt.Sprint(readyPort)) + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// front returns the address of gateway i for clients.
func (d *deployment) front(i int) string {
	return net.JoinHostPort(d.gateways[i%len(d.gateways)].ip, fmt.Sprint(frontPort))
}

// writeAll writes all that was sent, answered and run to the record, in the order of time.
func (d *deployment) writeAll() {
	d.mu.Lock()
	all := append([]string(nil), d.kept...)
	d.mu.Unlock()
	for _, l := range d.lines() {
		all = append(all, fmt.Sprintf("%8.3f s  worker %s: %s %s", l.at.Sub(d.began).Seconds(), l.worker, l.event, l.request))
	}
	slices.Sort(all)
	_, _ = fmt.Fprintln(d.record, "\nAll that was sent, answered and run:")
	for _, text := range all {
		_, _ = fmt.Fprintln(d.record, text)
	}
}

// close ends all processes that the case started, and completes the record.
func (d *deployment) close() {
	d.writeAll()
	close(d.stop)
	d.mu.Lock()
	processes := append([]*process(nil), d.gateways...)
	for _, w := range d.workers {
		processes = append(processes, w.process)
	}
	d.mu.Unlock()
	for _, p := range processes {
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
	_ = d.store.Close()
	_ = d.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.scratch)
	} else {
		fmt.Println("kept:", d.scratch)
	}
}

// settings are those of an entry machine of the site harbourline-fees.
const settings = `nodeId = "edge-%d"
role = "gateway"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = %q
zone = "kingston-a"
region = "kingston"
internalPortRange = [7200,7215]
seeds = [%s]
bootstrap = %t
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
kingston-a = "kingston"
[listen]
frontend = "%s:8740"
readiness = "%s:8749"
admin = "%s:8748"
[limits]
cpuShare = 0.304
cpus = 1
memoryMb = 134
maxFds = 4100
linkMbps = 1000.0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 4000
ackMs = 5000
catchupS = 4
drainMs = 2500
graceS = 8
lostSlackMs = 200
configApplyMs = 2500
rollbackSlackMs = 250
maxSkewMs = 6000
revokeFailClosed = true
revokeMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
budgetSlack = 54
recoveryS = 12
passMs = 250
againS = 4.7
[platform]
address = %q
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
`
