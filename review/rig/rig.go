// Package rig starts gateways as processes on loopback addresses, with a stand-in of the
// platform's store, for the scripts of the review.
package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/currantwood/currantwood/platform/standin/store"
)

const (
	// Host is the host name of all routes.
	Host = "desk.example"
	// Key is the API key of their one tenant.
	Key = "key-of-ada"
	// Topics and keys of the platform's pages.
	operatorTopic = "keyed.op"
	serverTopic   = "keyed.servers"
	configKey     = "config"
	// Binary is the program, relative to the root of the repository.
	Binary      = "target/currantwood"
	readyWithin = 20 * time.Second
	readyPoll   = 50 * time.Millisecond
	clientPort  = 8740
	readyPort   = 8749
	adminPort   = 8748
	peerPort    = 7200
	// maxTime is how long a case may take.
	maxTime = 110 * time.Second
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitUnable
)

// Route is a route of the configuration, as the pages write it.
type Route map[string]any

// Rig is a small deployment. Its methods are safe for concurrent use.
type Rig struct {
	Store  *store.Store
	folder string
	net    int
	began  time.Time

	mu       sync.Mutex
	lines    []string
	gateways []*Gateway
	versions int
}

// Gateway is a gateway's process.
type Gateway struct {
	Name, IP string
	settings string
	rig      *Rig
	command  *exec.Cmd
	ended    chan struct{}
}

// Main runs a case and returns its exit code: 1 if the rule was broken, 0 if it held and 2 if
// the case couldn't run. The record goes to the file that the first argument names. With
// TROUBLE=0 in the environment there is no disruption.
func Main(play func(r *Rig, trouble bool) (broken int, err error)) int {
	if len(os.Args) != 2 {
		fmt.Println("usage: PROGRAM RECORD")
		return exitUnable
	}
	r, err := New()
	if err != nil {
		fmt.Println(err)
		return exitUnable
	}
	defer r.Close()
	type result struct {
		broken int
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(r, os.Getenv("TROUBLE") != "0")
		done <- result{broken, err}
	}()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	var got result
	select {
	case got = <-done:
	case <-ended:
		got.err = errors.New("ended by a signal")
	case <-time.After(maxTime):
		got.err = errors.New("takes too long")
	}
	verdict, code := "the rule held", exitHeld
	switch {
	case got.err != nil:
		verdict, code = "the case couldn't run: "+got.err.Error(), exitUnable
	case got.broken > 0:
		verdict, code = fmt.Sprintf("the rule was broken, %d times", got.broken), exitBroken
	}
	r.Log("%s", verdict)
	fmt.Println(verdict)
	if err := r.WriteRecord(os.Args[1]); err != nil {
		fmt.Println(err)
		return exitUnable
	}
	return code
}

// New starts the store.
func New() (*Rig, error) {
	s, err := store.New()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &Rig{Store: s, folder: folder, net: 20 + rand.IntN(200), began: time.Now()}, nil
}

// Log adds a line to the record.
func (r *Rig) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

// WriteRecord writes the lines of the record to a file.
func (r *Rig) WriteRecord(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o600)
}

// Publish writes the next version of the configuration.
func (r *Rig) Publish(routes []Route, services []any) error {
	r.mu.Lock()
	r.versions++
	version := r.versions
	r.mu.Unlock()
	return r.PublishVersion(version, routes, services, Key)
}

// PublishVersion writes a version of the configuration with the keys of its one tenant.
func (r *Rig) PublishVersion(version int, routes []Route, services []any, keys ...string) error {
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxBodyBytes": 4 << 20, "maxHeaderBytes": 16384, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "ada", "apiKeys": keys}},
	})
	if err != nil {
		return err
	}
	r.Store.Put(operatorTopic, configKey, value)
	return nil
}

// Register writes a worker's entry.
func (r *Rig) Register(id string, entry map[string]any) error {
	value, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	r.Store.Put(serverTopic, id, value)
	return nil
}

// Unregister removes a worker's entry.
func (r *Rig) Unregister(id string) { r.Store.Put(serverTopic, id, nil) }

// IP returns a loopback address of this rig.
func (r *Rig) IP(n int) string { return fmt.Sprintf("127.%d.%d.%d", r.net, os.Getpid()%200, 1+n) }

// AddGateway starts a gateway that reaches the store at an address, and waits until it is
// ready.
func (r *Rig) AddGateway(name string, n, memoryMB int, storeAddress string, seeds []string) (*Gateway, error) {
	g := &Gateway{Name: name, IP: r.IP(n), rig: r}
	listed := make([]string, len(seeds))
	for i, ip := range seeds {
		listed[i] = fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ip, adminPort))
	}
	g.settings = filepath.Join(r.folder, name+".toml")
	text := fmt.Sprintf(settings, name, g.IP, peerPort, peerPort+15, strings.Join(listed, ","), g.IP, clientPort, g.IP, readyPort, g.IP, adminPort, memoryMB, storeAddress)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.gateways = append(r.gateways, g)
	r.mu.Unlock()
	if err := g.Start(); err != nil {
		return nil, err
	}
	return g, g.AwaitReady()
}

// Start starts the process, with the command of the deploy file.
func (g *Gateway) Start() error {
	log, err := os.OpenFile(filepath.Join(g.rig.folder, g.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.command = exec.Command(Binary, "gateway")
	g.command.Env = []string{"CURRANTWOOD_CONFIG=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + g.rig.folder}
	g.command.Stdout, g.command.Stderr = log, log
	if err := g.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.ended = ended
	command := g.command
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// Ended reports whether the process has ended.
func (g *Gateway) Ended() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// PID returns the id of the process.
func (g *Gateway) PID() int { return g.command.Process.Pid }

// Signal sends a signal to the process.
func (g *Gateway) Signal(s os.Signal) error { return g.command.Process.Signal(s) }

// AwaitReady waits until the gateway says that it is ready.
func (g *Gateway) AwaitReady() error {
	end := time.Now().Add(readyWithin)
	for time.Now().Before(end) {
		response, err := http.Get(fmt.Sprintf("http://%s:%d/readyz", g.IP, readyPort))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(readyPoll)
	}
	return fmt.Errorf("%s isn't ready", g.Name)
}

// Clients returns the address for clients.
func (g *Gateway) Clients() string { return fmt.Sprintf("%s:%d", g.IP, clientPort) }

// LogText returns what the process has written.
func (g *Gateway) LogText() string {
	data, _ := os.ReadFile(filepath.Join(g.rig.folder, g.Name+".log"))
	return string(data)
}

// Close ends all processes and removes the folder.
func (r *Rig) Close() {
	for _, g := range r.gateways {
		if g.command != nil && g.command.Process != nil {
			_ = g.command.Process.Kill()
			<-g.ended
		}
	}
	_ = r.Store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.folder)
	} else {
		fmt.Println("kept", r.folder)
	}
}

// settings are those of the deployment harbourline-fees.
const settings = `nodeId = %q
role = "gateway"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = %q
zone = "kingston-a"
region = "kingston"
internalPortRange = [%d,%d]
seeds = [%s]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
kingston-a = "kingston"
[listen]
frontend = "%s:%d"
readiness = "%s:%d"
admin = "%s:%d"
[limits]
cpuShare = 0.304
cpus = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
[faultTolerance]
machines = 1
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
`
