package streams_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	clientCount           = 24
	tokensPerStream       = 120
	streamTokensPerSecond = 150
	tokensBeforeFault     = 15
)

// fault breaks one part of a running system.
type fault struct {
	name string
	// inject causes the fault; it is called while all streams are running.
	inject func(sys *system)
	// mayLoseGeneration is set when the fault may lose generations for good.
	mayLoseGeneration bool
}

var faults = []fault{
	{name: "no fault", inject: func(*system) {}},
	{name: "entry killed", inject: func(sys *system) { sys.killEntry(0) }},
	{name: "side killed and replaced", inject: func(sys *system) { sys.replaceSide(sys.engines[0]) }},
	{name: "engine unreachable", mayLoseGeneration: true, inject: func(sys *system) { sys.engines[1].disconnect() }},
	{name: "open links silent both ways", inject: func(sys *system) { sys.silenceLinks(true, true) }},
	{name: "open links silent towards the sides", inject: func(sys *system) { sys.silenceLinks(true, false) }},
	{name: "open links silent towards the entries", inject: func(sys *system) { sys.silenceLinks(false, true) }},
	{name: "links cut", inject: func(sys *system) {
		for _, n := range sys.engines {
			sys.toSide(n).CloseConnections()
		}
	}},
	{name: "engine connections cut", inject: func(sys *system) {
		for _, n := range sys.engines {
			n.toEngine.CloseConnections()
		}
	}},
	// Closes the connections of the clients.
	{name: "callers cut off", inject: func(sys *system) {
		for _, e := range sys.entries {
			e.toEntry.CloseConnections()
		}
	}},
}

// silenceLinks stops all data on the open links in the chosen directions, without
// closing them. New links work.
func (sys *system) silenceLinks(towardsSides, towardsEntries bool) {
	for _, n := range sys.engines {
		sys.toSide(n).FreezeConnections(towardsSides, towardsEntries)
	}
}

// liveAddresses returns the addresses of the entries that were not killed, starting
// with the entry of index first.
func (sys *system) liveAddresses(first int) []string {
	var live []string
	for i := range sys.entries {
		if e := sys.entries[(first+i)%len(sys.entries)]; !e.dead {
			live = append(live, e.toEntry.Address())
		}
	}
	return live
}

// readThroughFaults reads clientCount streams, injects the faults once each has
// tokensBeforeFault tokens, and returns the clients when all streams have ended.
func readThroughFaults(sys *system, acceptsRestart bool, injections ...func(*system)) []*streamClient {
	clients := make([]*streamClient, clientCount)
	var started atomic.Int32
	var wait sync.WaitGroup
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	// mu guards entryNode.dead, which killEntry sets.
	var mu sync.Mutex
	for i := range clients {
		c := &streamClient{customer: "chambers", acceptsRestart: acceptsRestart, addresses: func() []string {
			mu.Lock()
			defer mu.Unlock()
			return sys.liveAddresses(i)
		}}
		clients[i] = c
		wait.Add(1)
		go func() {
			defer wait.Done()
			counted := false
			c.readStream(ctx, requestBody(true, fmt.Sprint("stream ", i), tokensPerStream), func() {
				if !counted && len(c.texts) == tokensBeforeFault {
					counted = true
					started.Add(1)
				}
			})
		}()
	}
	Eventually(started.Load, stepTimeout).Should(BeEquivalentTo(clientCount))
	mu.Lock()
	for _, inject := range injections {
		inject(sys)
	}
	mu.Unlock()
	wait.Wait()
	return clients
}

// checkStreams expects every client to have received a complete stream or, with
// mayLose, a generation-lost failure. It returns how many streams were complete.
func checkStreams(clients []*streamClient, mayLose bool) int {
	generations := make(map[string]int)
	complete := 0
	for i, c := range clients {
		Expect(c.tokenError()).To(BeEmpty(), "client %d", i)
		generations[c.generation()]++
		if c.done {
			Expect(c.texts).To(HaveLen(tokensPerStream), "client %d: a truncated stream ended with [DONE]", i)
			complete++
			continue
		}
		Expect(mayLose).To(BeTrue(), "client %d lost its stream: %+v, %v", i, c.failure, c.err)
		Expect(c.failure).NotTo(BeNil(), "client %d: %v", i, c.err)
		Expect(c.failure.refusalKind()).To(Equal("generation-lost"), "client %d", i)
		Expect(c.failure.Ran).To(Equal("ran"), "client %d", i)
		Expect(c.failure.RetryAfterMS).To(BeNumerically(">", 0), "client %d", i)
	}
	Expect(generations).To(HaveLen(len(clients)), "number of generations, one for each client")
	return complete
}

var _ = Describe("Token streams under faults", func() {
	for i, first := range faults {
		for _, second := range faults[i:] {
			// No pair of a fault with itself, also not of "no fault".
			if second.name == first.name && i > 0 || i == 0 && second.name == "no fault" {
				continue
			}
			// Both faults are injected at the same time.
			It(fmt.Sprintf("%s, %s", first.name, second.name), func() {
				sys := newSystem(3, 3, streamTokensPerSecond)
				complete := checkStreams(readThroughFaults(sys, false, first.inject, second.inject), first.mayLoseGeneration || second.mayLoseGeneration)
				Expect(complete).To(BeNumerically(">", 0))
			})
		}
	}

	It("sends clients that accept restarts a complete new generation after a restart event", func() {
		sys := newSystem(3, 2, streamTokensPerSecond)
		clients := readThroughFaults(sys, true, func(sys *system) { sys.engines[1].disconnect() })
		Expect(checkStreams(clients, false)).To(Equal(clientCount))
		restarted := 0
		for _, c := range clients {
			restarted += c.restarts
		}
		Expect(restarted).To(BeNumerically(">", 0))
	})
})
