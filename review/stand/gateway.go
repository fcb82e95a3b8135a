package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// restartPause is the time until the platform starts a process again.
	restartPause = 500 * time.Millisecond
	readyTimeout = 20 * time.Second
)

// gateway is a machine that runs the project's gateway.
type gateway struct {
	w *world
	// name is the nodeId, and settings the path of the settings file.
	name, settings string
	// frontend is where clients connect to, readiness where the platform asks.
	frontend, readiness string

	mu      sync.Mutex
	command *exec.Cmd
	ended   bool
}

// addGateways starts gateways at the same time and waits until they are ready.
func (w *world) addGateways(count int) error {
	var ips, seeds []string
	for i := range count {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, os.Getpid()/64%250+1, i+1)
		ips = append(ips, ip)
		seeds = append(seeds, strconv.Quote(ip+":8748"))
	}
	for i, ip := range ips {
		g := &gateway{w: w, name: fmt.Sprintf("edge-kingston-a-%d", i+1), frontend: freeAddress(ip), readiness: freeAddress(ip)}
		g.settings = filepath.Join(w.folder, g.name+".toml")
		if err := os.WriteFile(g.settings, []byte(g.text(ip, strings.Join(seeds, ","))), 0o600); err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if !g.awaitReady() {
			return fmt.Errorf("%s isn't ready", g.name)
		}
	}
	return nil
}

// settingsText is the settings file of an edge machine, in the form of the users' example.
const settingsText = `nodeId = %q
role = "gateway"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = %q
zone = "kingston-a"
region = "kingston"
internalPortRange = [7200,7215]
seeds = [%s]
bootstrap = true
toleranceCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
kingston-a = "kingston"
[listen]
frontend = %q
readiness = %q
admin = "%s:8748"
[limits]
cpuShare = 0.304
cpus = 1
memoryMb = 134
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
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
appendMs = 2.0
partitionMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
`

// text returns the settings as the platform lays them on an edge machine of a small
// deployment.
func (g *gateway) text(ip, seeds string) string {
	return fmt.Sprintf(settingsText, g.name, ip, seeds, g.frontend, g.readiness, ip, g.w.store.Address())
}

// start starts the process with the command of deploy/system.toml.
func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return nil
	}
	command := exec.Command("target/currantwood", "gateway")
	command.Dir = g.w.repository
	command.Env = []string{"CURRANTWOOD_CONFIG=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if folder := os.Getenv("STAND_LOGS"); folder != "" {
		log, err := os.OpenFile(filepath.Join(folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		command.Stdout, command.Stderr = log, log
	}
	if err := command.Start(); err != nil {
		return err
	}
	g.command = command
	g.w.note("%s: process started", g.name)
	go g.watch(command)
	return nil
}

// watch waits for the end of a process and starts it again, as the platform does.
func (g *gateway) watch(command *exec.Cmd) {
	err := command.Wait()
	g.w.note("%s: process ended: %v", g.name, err)
	time.Sleep(restartPause)
	_ = g.start()
}

func (g *gateway) awaitReady() bool {
	client := &http.Client{Timeout: time.Second}
	for began := time.Now(); time.Since(began) < readyTimeout; time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + g.readiness + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			g.w.note("%s: ready", g.name)
			return true
		}
	}
	return false
}

// signal sends a signal to the process that runs.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command == nil || g.ended {
		return
	}
	g.w.note("%s: signal %v", g.name, s)
	_ = g.command.Process.Signal(s)
}

// end ends the machine for good.
func (g *gateway) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	if g.command != nil {
		_ = g.command.Process.Kill()
	}
}

// dial opens a client's connection.
func (g *gateway) dial() (net.Conn, error) { return net.DialTimeout("tcp", g.frontend, time.Second) }
