package main

import (
	"fmt"
	"time"
)

// Names, routes and times of the small deployment that the cases use, like those of
// harbourline-fees.toml.
const (
	writers = "huvo11a"
	desk    = "wuno96b"

	briefPath    = "/lohu930/"
	classifyPath = "/pufi791/"
	remitPath    = "/pule252/"
	checkPath    = "/puxa403/"

	tenantName = "huka270"
	tenantKey  = "xd9dnn2ctnfzs989anu6"

	briefTimeout = 39 * time.Second
	callTimeout  = 2 * time.Second

	writerSlots = 24

	eventInterval = 40 * time.Millisecond
	deskSlots     = 6
)

func smallServices() []service {
	return []service{{name: writers, engine: true}, {name: desk}}
}

func smallRoutes() []route {
	return []route{
		{name: "r-brief", prefix: briefPath, kind: "streaming", service: writers, timeoutMs: 39000, targetMs: 1800, attempts: 1},
		{name: "r-classify", prefix: classifyPath, kind: "streaming", service: writers, timeoutMs: 39000, targetMs: 1500, attempts: 2, resume: true},
		{name: "r-remit", prefix: remitPath, kind: "unsafe", service: desk, timeoutMs: 2000, targetMs: 300, attempts: 1},
		{name: "r-check", prefix: checkPath, kind: "safe", service: desk, timeoutMs: 2000, targetMs: 300, attempts: 2},
	}
}

// publishSmall writes the first configuration.
func (w *world) publishSmall() {
	w.publish(1, smallServices(), smallRoutes(), []tenant{{Name: tenantName, Keys: []string{tenantKey}}})
}

// payment is a request that must not run more than once.
func payment() attempt {
	return attempt{method: "POST", path: remitPath + "2f", key: tenantKey, body: "amount=120", deadline: callTimeout}
}

// generation is a stream of so many events.
func generation(path string, events int) attempt {
	return attempt{
		method: "POST", path: path + "2f", key: tenantKey, body: "matter", deadline: briefTimeout,
		header: map[string]string{"X-Model": "m", "X-Token-Counts": fmt.Sprintf("100,%d", 4*events), "X-Prefix-Hash": "5c1e07a2:60,e4402b7d:40"},
	}
}
