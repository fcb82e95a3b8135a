package logwriter

import (
	"bytes"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// gate is an output that blocks until it is opened.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
	got  bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.got.Write(p)
}

func (g *gate) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.got.String()
}

var _ = Describe("PlainErrors", func() {
	It("writes an error's message without its stack", func() {
		var out bytes.Buffer
		core := zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "msg"}), zapcore.AddSync(&out), zapcore.InfoLevel)
		logger := zap.New(PlainErrors(core)).With(zap.NamedError("first", errors.New("one")))
		logger.Debug("not written")
		logger.Info("failed", zap.Error(errors.New("two")), zap.Int("n", 3))
		Expect(out.String()).To(Equal(`{"msg":"failed","first":"one","error":"two","n":3}` + "\n"))
	})
})

var _ = Describe("Writer", func() {
	It("writes lines in order", func() {
		out := &gate{open: make(chan struct{})}
		close(out.open)
		w := New(out)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, err := w.Write([]byte(line))
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(out.text, "1s").Should(Equal("a\nb\nc\n"))
	})

	It("never blocks, and counts the lines that it drops", func() {
		out := &gate{open: make(chan struct{})}
		w := New(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		began := time.Now()
		for range 1000 {
			_, _ = w.Write(line)
		}
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		close(out.open)
		Eventually(func() string {
			Expect(w.Sync()).To(Succeed())
			return out.text()
		}, "2s").Should(ContainSubstring(`"msg":"log lines dropped","count":`))
	})
})
