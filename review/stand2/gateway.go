package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of the gateways; each has a loopback address of its own.
const (
	frontendPort  = 8740
	readinessPort = 8749
	adminPort     = 8748
	peerPort      = 7200
)

// drainTime, contactTime and revokeTime are drainMs, contactMs and revokeMs of the settings.
const (
	drainTime   = 2500 * time.Millisecond
	contactTime = 4000 * time.Millisecond
	revokeTime  = 5000 * time.Millisecond
)

// gateway is a process of the system.
type gateway struct {
	world    *world
	name, ip string
	seeds    []string
	store    *storeProxy
	zone     string
	settings string
	log      string
	command  *exec.Cmd
	ended    chan struct{}
}

// gatewayIPs returns loopback addresses on which the ports of a gateway are free.
func gatewayIPs(count int) []string {
	var found []string
	for third := 0; third < 200 && len(found) < count; third++ {
		ip := fmt.Sprintf("127.%d.%d.1", 20+os.Getpid()%180, third)
		if portsFree(ip) {
			found = append(found, ip)
		}
	}
	if len(found) < count {
		unable("no free loopback addresses")
	}
	return found
}

func portsFree(ip string) bool {
	for _, port := range []int{frontendPort, readinessPort, adminPort, 9464} {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	packets, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", ip, peerPort))
	if err != nil {
		return false
	}
	return packets.Close() == nil
}

// addGateways makes gateways known, all of which are the seeds of each other. None is started.
func (w *world) addGateways(ips []string) []*gateway {
	var seeds []string
	for _, ip := range ips[:min(3, len(ips))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ip, adminPort)))
	}
	var added []*gateway
	for _, ip := range ips {
		name := fmt.Sprintf("edge-%d", len(w.gateways)+1)
		g := &gateway{world: w, name: name, ip: ip, seeds: seeds, store: newStoreProxy(w.store.Address()), zone: "kingston-a"}
		w.gateways = append(w.gateways, g)
		added = append(added, g)
	}
	return added
}

// start starts the process with the command of the deploy file.
func (g *gateway) start(bootstrap bool) {
	g.settings = filepath.Join(g.world.folder, g.name+".toml")
	g.log = filepath.Join(g.world.folder, g.name+".log")
	if err := os.WriteFile(g.settings, []byte(g.settingsText(bootstrap)), 0o600); err != nil {
		unable("write settings: %v", err)
	}
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		unable("open a log: %v", err)
	}
	g.command = exec.Command("target/currantwood", "gateway")
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "CURRANTWOOD_CONFIG=" + g.settings}
	g.command.Stdout, g.command.Stderr = log, log
	if err := g.command.Start(); err != nil {
		unable("start a gateway: %v", err)
	}
	g.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		_ = log.Close()
		close(ended)
	}(g.command, g.ended)
	g.world.note("%s started", g.name)
}

// settingsText returns settings like those of a small deployment.
func (g *gateway) settingsText(bootstrap bool) string {
	return fmt.Sprintf(settingsFormat, g.name, g.ip, g.zone, peerPort, peerPort+15, strings.Join(g.seeds, ","), bootstrap,
		g.ip, frontendPort, g.ip, readinessPort, g.ip, adminPort, g.store.address())
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) {
	if g.command != nil && g.command.Process != nil {
		_ = g.command.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (g *gateway) kill() {
	if g.command == nil {
		return
	}
	g.signal(syscall.SIGKILL)
	<-g.ended
}

// ready asks the process as the platform does.
func (g *gateway) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/readyz", g.ip, readinessPort), nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until gateways are ready.
func (w *world) awaitReady(gateways ...*gateway) {
	deadline := time.Now().Add(10 * time.Second)
	for _, g := range gateways {
		for !g.ready() {
			if time.Now().After(deadline) {
				unable("%s isn't ready after 10 s", g.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	w.note("ready: %d gateways", len(gateways))
}
