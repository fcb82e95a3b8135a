package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"time"
	"weak"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
)

// pausingClient is the response to a client that reads only while it isn't paused.
type pausingClient struct {
	mu     sync.Mutex
	change *sync.Cond
	paused bool
	// spare is the number of writes that the kernel still takes during the pause.
	spare  int
	failed bool
	text   bytes.Buffer
}

func newPausingClient() *pausingClient {
	c := &pausingClient{}
	c.change = sync.NewCond(&c.mu)
	return c
}

func (c *pausingClient) Header() http.Header { return http.Header{} }
func (c *pausingClient) WriteHeader(int)     {}
func (c *pausingClient) FlushError() error   { return nil }

func (c *pausingClient) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.paused && !c.failed && c.spare == 0 {
		c.change.Wait()
	}
	c.spare = max(0, c.spare-1)
	if c.failed {
		return 0, os.ErrDeadlineExceeded
	}
	return c.text.Write(p)
}

// SetWriteDeadline makes writes fail if the deadline has passed.
func (c *pausingClient) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = t.Before(time.Now())
	c.change.Broadcast()
	return nil
}

func (c *pausingClient) setPaused(paused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused = paused
	c.change.Broadcast()
}

func (c *pausingClient) setSpare(writes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spare = writes
	c.change.Broadcast()
}

func (c *pausingClient) isWritable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.paused
}

func (c *pausingClient) read() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.text.String()
}

var _ = Describe("clientWriter", func() {
	var buffers *streamBuffers
	BeforeEach(func() {
		// 10 KB for each stream and 20 KB for all.
		options := Options{Logger: zap.NewNop(), Now: time.Now, Metrics: metrics.NewRegistry()}
		options.Settings.MemoryBytes = 1e6
		options.Settings.Flow = currantwood.FlowShares{Stream: 0.01, Total: 0.02}
		buffers = newStreamBuffers(options)
	})
	newWriter := func(client *pausingClient, canceled *bool) *clientWriter {
		return &clientWriter{w: client, writable: client.isWritable, buffers: buffers, cancel: func() { *canceled = true }}
	}
	usedBytes := func() int64 {
		buffers.mu.Lock()
		defer buffers.mu.Unlock()
		return buffers.keeper.Bytes()
	}
	event := func(i int) []byte { return []byte(fmt.Sprintf("id: %d\n\n", i)) }

	// Guards against events that overtake each other when writing goes over to the goroutine
	// and back.
	It("keeps the order across many pauses, and starts no goroutine while the client keeps up", func() {
		client, canceled := newPausingClient(), false
		out := newWriter(client, &canceled)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		want := ""
		var resumption *time.Timer
		for i := range 3000 {
			if i%50 == 30 {
				client.setPaused(true)
				client.setSpare(directBytes / eventBufferBytes)
				// With events of the round before still buffered, a write before the 40th may
				// wait for the client.
				resumption = time.AfterFunc(50*time.Millisecond, func() { client.setPaused(false) })
			}
			if i%50 == 40 {
				resumption.Stop()
				go client.setPaused(false)
			}
			Expect(out.write(ctx, event(i))).To(Succeed())
			if i < 30 {
				Expect(out.changed).To(BeNil())
			}
			want += string(event(i))
		}
		Expect(out.drain(ctx)).To(Succeed())
		Expect(client.read()).To(Equal(want))
		Expect(usedBytes()).To(BeZero())
		Expect(canceled).To(BeFalse())
	})

	// Guards against a buffer without a bound, and against a write that never returns.
	It("waits while the buffer is full, until the client reads or the context is done", func() {
		client, canceled := newPausingClient(), false
		client.setPaused(true)
		out := newWriter(client, &canceled)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		written := 0
		text := []byte(strings.Repeat("x", 1000))
		for out.write(ctx, text) == nil {
			written++
			Expect(usedBytes()).To(BeNumerically("<=", 10_000))
		}
		Expect(ctx.Err()).To(HaveOccurred())
		Expect(written).To(BeNumerically("~", 9, 1))
		go func() {
			time.Sleep(20 * time.Millisecond)
			client.setPaused(false)
		}()
		Expect(out.write(context.Background(), text)).To(Succeed())
		Expect(out.drain(context.Background())).To(Succeed())
		Expect(client.read()).To(HaveLen(1000 * (written + 1)))
	})

	// Guards against written events that the array of the queue still holds: they would take
	// memory that isn't charged.
	It("holds no event that is written while others are buffered", func() {
		client, canceled := newPausingClient(), false
		client.setPaused(true)
		out := newWriter(client, &canceled)
		writeEvent := func() weak.Pointer[byte] {
			text := []byte(strings.Repeat("x", 900))
			Expect(out.write(context.Background(), text)).To(Succeed())
			return weak.Make(&text[0])
		}
		writeEvent()
		written := writeEvent()
		for range 5 {
			writeEvent()
		}
		// The third batch is being written then.
		client.setSpare(1 + maxBatchBytes/900)
		Eventually(func() bool {
			runtime.GC()
			return written.Value() == nil
		}, "2s", "10ms").Should(BeTrue())
		client.setPaused(false)
		Expect(out.drain(context.Background())).To(Succeed())
		Expect(client.read()).To(HaveLen(7 * 900))
	})

	// Guards against an event that is longer than the limit and blocks its stream for good.
	It("writes an event that is longer than a stream's buffer once the buffer is empty", func() {
		client, canceled := newPausingClient(), false
		client.setPaused(true)
		out := newWriter(client, &canceled)
		Expect(out.write(context.Background(), event(1))).To(Succeed())
		go func() {
			time.Sleep(20 * time.Millisecond)
			client.setPaused(false)
		}()
		long := strings.Repeat("x", 50_000)
		Expect(out.write(context.Background(), []byte(long))).To(Succeed())
		Expect(out.drain(context.Background())).To(Succeed())
		Expect(client.read()).To(Equal(string(event(1)) + long))
	})

	// Guards against a stream that is ended and whose memory stays charged, and against one
	// that looks complete.
	It("ends the longest stopped stream when the memory is used up", func() {
		var clients [3]*pausingClient
		var outs [3]*clientWriter
		var canceled [3]bool
		text := []byte(strings.Repeat("x", 900))
		for i := range clients {
			clients[i] = newPausingClient()
			clients[i].setPaused(true)
			outs[i] = newWriter(clients[i], &canceled[i])
			for range 9 {
				if i < 2 {
					Expect(outs[i].write(context.Background(), text)).To(Succeed())
				}
			}
			time.Sleep(5 * time.Millisecond)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		for range 9 {
			Expect(outs[2].write(ctx, text)).To(Succeed())
		}
		Expect(canceled).To(Equal([3]bool{true, false, false}))
		Expect(outs[0].drain(context.Background())).To(MatchError(errClientStopped))
		Expect(errors.Is(outs[0].write(ctx, text), errClientStopped)).To(BeTrue())
		Expect(buffers.ended.Count()).To(BeEquivalentTo(1))
		for i := 1; i < 3; i++ {
			clients[i].setPaused(false)
			Expect(outs[i].drain(context.Background())).To(Succeed())
			Expect(clients[i].read()).To(HaveLen(9 * 900))
		}
		Expect(usedBytes()).To(BeZero())
	})
})
