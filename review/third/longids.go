package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// longIDs: a crowd of clients begins streams with long request ids, of legal size. Then a gateway
// is killed, and the clients of its other streams take these up.
func longIDs(d *deployment) (bool, error) {
	if err := d.putConfiguration(route{"check", "streaming", "writers", 30000, 1500, 2, true}); err != nil {
		return false, err
	}
	for i := range 4 {
		if _, err := d.startWorker(fmt.Sprintf("i-writer-%d", i+1), "writers", "-events", "250"); err != nil {
			return false, err
		}
	}
	if err := d.startGateways(4); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if d.trouble {
		for i := range 30 {
			id := fmt.Sprintf("crowd-%04d-", i) + strings.Repeat("x", 14000)
			go d.send(context.Background(), d.front(1+i%3), checkRequest(id, 100+i, nil))
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Second)
	}
	return d.takeUp()
}
