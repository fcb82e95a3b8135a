package publisher_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/publisher"
	"github.com/currantwood/currantwood/standin/logservice"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	operators = 5
	// roundsPerOperator is how often each operator reads the head and publishes a
	// text based on it.
	roundsPerOperator = 25
)

// input is a publication if id is set, and a read of the head otherwise.
type input struct {
	id, base currantwood.PublicationID
}

// output is the result of a read or a publication.
type output struct {
	outcome publisher.Outcome
	head    currantwood.PublicationID
}

// headModel models the head as a compare-and-swap register: a publication takes
// effect exactly if its base is the head. One with the outcome Unknown may take
// effect at any later time.
var headModel = porcupine.Model{
	Init: func() any { return currantwood.PublicationID("") },
	Step: func(state, in, out any) (bool, any) {
		head, i, o := state.(currantwood.PublicationID), in.(input), out.(output)
		switch {
		case i.id == "":
			return o.head == head, head
		case o.outcome == publisher.Accepted:
			return i.base == head, i.id
		case o.outcome == publisher.Unknown && i.base == head:
			return true, i.id
		case o.outcome == publisher.Conflict:
			return i.base != head, head
		}
		// Same, which is not checked, or Unknown without effect.
		return true, head
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%v -> %v", in, out) },
}

var _ = It("Publisher is linearizable while responses are lost and appends are delayed", func() {
	service := logservice.New()
	server := httptest.NewServer(service)
	DeferCleanup(server.Close)

	began := time.Now()
	var (
		mu      sync.Mutex
		history []porcupine.Operation
		counts  = make(map[publisher.Outcome]int)
	)
	record := func(client int, in input, out output, call, end int64) {
		mu.Lock()
		defer mu.Unlock()
		counts[out.outcome]++
		if out.outcome == publisher.Unknown {
			end = math.MaxInt64
		}
		history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
	}

	done := make(chan struct{})
	faultsStopped := make(chan struct{})
	go func() {
		defer close(faultsStopped)
		random := rand.New(rand.NewPCG(1, 2))
		for {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
				// Some delays exceed callTimeout.
				service.SetFaults(logservice.Faults{
					Down:          random.IntN(8) == 0,
					LoseResponses: random.IntN(3),
					DelayMS:       int64(random.IntN(2) * random.IntN(140)),
				})
			}
		}
	}()

	var wait sync.WaitGroup
	for client := range operators {
		wait.Go(func() {
			defer GinkgoRecover()
			for range roundsPerOperator {
				readAndPublish(server.URL, began, func(in input, out output, call, end int64) { record(client, in, out, call, end) })
			}
		})
	}
	wait.Wait()
	close(done)
	<-faultsStopped
	GinkgoWriter.Println("outcomes (reads count as Outcome(0)):", counts)
	Expect(counts[publisher.Accepted]).To(BeNumerically(">", 0))
	Expect(porcupine.CheckOperationsTimeout(headModel, history, 30*time.Second)).To(Equal(porcupine.Ok))
})

// readAndPublish reads the head and publishes a text based on it.
// A short timeout bounds both.
func readAndPublish(address string, began time.Time, record func(in input, out output, call, end int64)) {
	p := newPublisher(address)
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	call := time.Since(began).Nanoseconds()
	snapshot, err := p.Head(ctx)
	if err != nil {
		return
	}
	head := snapshot.Head
	record(input{}, output{head: head.Publication}, call, time.Since(began).Nanoseconds())

	call = time.Since(began).Nanoseconds()
	edit := publisher.Edit{
		Base:        publisher.Base{Revision: head.Revision, Publication: head.Publication},
		PublishedBy: "Ann",
		Text:        fmt.Sprint("text ", lastID.Add(1)),
	}
	result, err := p.Publish(ctx, edit)
	if err != nil {
		return
	}
	record(input{id: result.Publication, base: edit.Base.Publication}, output{outcome: result.Outcome}, call, time.Since(began).Nanoseconds())
}
