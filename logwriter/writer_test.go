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

// blockingOutput is an output whose Write blocks until unblocked is closed.
type blockingOutput struct {
	mu        sync.Mutex
	unblocked chan struct{}
	written   bytes.Buffer
}

func (o *blockingOutput) Write(p []byte) (int, error) {
	<-o.unblocked
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.Write(p)
}

func (o *blockingOutput) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.String()
}

var _ = Describe("Errors in log fields", func() {
	It("are written without their stack traces", func() {
		var out bytes.Buffer
		core := zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "msg"}), zapcore.AddSync(&out), zapcore.InfoLevel)
		logger := zap.New(WithoutStackTraces(core)).With(zap.NamedError("first", errors.New("one")))
		logger.Debug("not written")
		logger.Info("failed", zap.Error(errors.New("two")), zap.Int("n", 3))
		Expect(out.String()).To(Equal(`{"msg":"failed","first":"one","error":"two","n":3}` + "\n"))
	})
})

var _ = Describe("Writer", func() {
	It("writes lines in order", func() {
		out := &blockingOutput{unblocked: make(chan struct{})}
		close(out.unblocked)
		w := New(out)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, err := w.Write([]byte(line))
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(out.text, "1s").Should(Equal("a\nb\nc\n"))
	})

	It("does not block on the output, and logs that lines were dropped", func() {
		out := &blockingOutput{unblocked: make(chan struct{})}
		w := New(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		began := time.Now()
		for range 1000 {
			_, _ = w.Write(line)
		}
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		close(out.unblocked)
		Eventually(func() string {
			Expect(w.Sync()).To(Succeed())
			return out.text()
		}, "2s").Should(ContainSubstring(`"msg":"log lines dropped","count":`))
	})
})
