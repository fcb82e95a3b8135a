package main

import (
	"fmt"
	"time"
)

const (
	// revokeTime is the bound revokeMs of the settings.
	revokeTime = 5 * time.Second
	// revokeGap is the pause between two keys that are taken away.
	revokeGap = time.Second
	// afterRevoke is how long after the bound the check goes on.
	afterRevoke = 6 * time.Second
	unknownKey  = "zz0never0held0by0anyone"
)

// noKeys plays an operator that takes away keys, one a version, up to the last one. From
// revokeMs after the last version no key is valid, and no request with one may run.
func noKeys(w *world) verdict {
	keys := []string{"xd9dnn2ctnfzs989anu6", "wsjnbanfqasnmgkcuyj8", "q2m7c0ah5rkd81xv3yep"}
	shown := func(version int, first, second []string) {
		w.publish(version, smallServices(), smallRoutes(), []tenant{{Name: tenantName, Keys: first}, {Name: "kolo114", Keys: second}})
	}
	shown(1, keys[:2], keys[2:])
	for i := range 2 {
		w.addWorker(fmt.Sprintf("i-02d9e6b%d", i), desk, "v1", deskSlots, func(k *worker, c *call) { k.serveCall(c, 15*time.Millisecond) })
	}
	if err := w.addGateways(2); err != nil {
		return notRun("%v", err)
	}
	for i, key := range append(keys, unknownKey, "") {
		o := w.once(w.gateways[i%2], payWith(key))
		if known := i < len(keys); known != (o.status == 200) {
			return notRun("before the disruption, key %q was answered %d", key, o.status)
		}
	}
	time.Sleep(revokeGap)
	remaining := [][2][]string{{keys[1:2], keys[2:]}, {{}, keys[2:]}, {{}, {}}}
	if !w.trouble {
		// The same versions, which take away no key.
		remaining = [][2][]string{{keys[:2], keys[2:]}, {keys[:2], keys[2:]}, {keys[:2], keys[2:]}}
	}
	for i, r := range remaining {
		shown(i+2, r[0], r[1])
		if i < len(remaining)-1 {
			time.Sleep(revokeGap)
		}
	}
	acknowledged := time.Now()
	time.Sleep(revokeTime + 200*time.Millisecond)
	revoked, unknown := 0, 0
	for time.Since(acknowledged) < revokeTime+afterRevoke {
		for _, g := range w.gateways {
			for _, key := range keys {
				o := w.once(g, payWith(key))
				if w.trouble && w.runs(o.id) > 0 {
					revoked++
				}
			}
			if o := w.once(g, payWith(unknownKey)); w.runs(o.id) > 0 {
				unknown++
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	return verdict{
		broken: revoked > 0 || unknown > 0,
		seen:   fmt.Sprintf("later than %v after the last configuration, %d requests with a revoked key and %d with a key that no configuration ever held ran", revokeTime, revoked, unknown),
	}
}

func payWith(key string) attempt {
	a := payment()
	a.key = key
	return a
}
