package storewatcher

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
)

// script answers reads from a list, then waits.
type script struct {
	mu      sync.Mutex
	newest  []currantwood.KeyedWindow
	answers []func() (currantwood.KeyedWindow, error)
	reads   []time.Duration
}

// waits are the times that reads were told to wait.
func (s *script) waits() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Duration(nil), s.reads...)
}

func (s *script) Newest(context.Context, string) (currantwood.KeyedWindow, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	window := s.newest[0]
	if len(s.newest) > 1 {
		s.newest = s.newest[1:]
	}
	return window, nil
}

func (s *script) Read(ctx context.Context, _ string, _ currantwood.Offset, wait time.Duration) (currantwood.KeyedWindow, error) {
	s.mu.Lock()
	s.reads = append(s.reads, wait)
	if len(s.answers) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return currantwood.KeyedWindow{}, ctx.Err()
	}
	next := s.answers[0]
	s.answers = s.answers[1:]
	s.mu.Unlock()
	return next()
}

// log notes what a feed was told.
type log struct {
	mu    sync.Mutex
	lines []string
}

func (l *log) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
}

func (l *log) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.lines...)
}

func feed(l *log, covered func() bool) Feed {
	note := func(kind string, records []currantwood.KeyedRecord) {
		for _, r := range records {
			l.add(kind + " " + r.Key)
		}
	}
	return Feed{
		Name: "test", Topic: "t", Pause: 10 * time.Millisecond,
		Replace: func(_ time.Time, r []currantwood.KeyedRecord) { note("replace", r) },
		Apply: func(_ time.Time, r []currantwood.KeyedRecord) []currantwood.KeyedRecord {
			note("apply", r)
			return r
		},
		Taken:    func(time.Time, currantwood.Offset, currantwood.Offset, []currantwood.KeyedRecord) {},
		Proven:   func(time.Time) {},
		Regained: func(time.Time) { l.add("regained") },
		Stale:    func(time.Time) bool { return false },
		Covered:  func(time.Time) (time.Time, bool) { return time.Time{}, covered() },
	}
}

func window(next int, keys ...string) currantwood.KeyedWindow {
	w := currantwood.KeyedWindow{Next: currantwood.Offset(next)}
	for i, key := range keys {
		w.Records = append(w.Records, currantwood.KeyedRecord{Offset: currantwood.Offset(next - len(keys) + i), Key: key})
	}
	return w
}

func answer(w currantwood.KeyedWindow) func() (currantwood.KeyedWindow, error) {
	return func() (currantwood.KeyedWindow, error) { return w, nil }
}

var _ = Describe("Watcher", func() {
	start := func(s *script, l *log, covered func() bool) *Watcher {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		return New(ctx, s, zap.NewNop(), time.Now, feed(l, covered))
	}
	never := func() bool { return false }

	It("begins with the newest and reads on", func() {
		l := &log{}
		s := &script{newest: []currantwood.KeyedWindow{window(10, "a", "b")}, answers: []func() (currantwood.KeyedWindow, error){answer(window(11, "c"))}}
		start(s, l, never)
		Eventually(l.all).Should(Equal([]string{"replace a", "replace b", "apply c"}))
	})

	It("begins anew when its records expired", func() {
		l := &log{}
		expired := func() (currantwood.KeyedWindow, error) { return currantwood.KeyedWindow{}, currantwood.ErrExpired }
		s := &script{newest: []currantwood.KeyedWindow{window(10, "a"), window(20, "b")}, answers: []func() (currantwood.KeyedWindow, error){expired}}
		start(s, l, never)
		Eventually(l.all).Should(Equal([]string{"replace a", "replace b"}))
	})

	It("reads nothing while a peer does, unless asked to", func() {
		l := &log{}
		s := &script{newest: []currantwood.KeyedWindow{window(10, "a")}, answers: []func() (currantwood.KeyedWindow, error){answer(window(11, "b"))}}
		w := start(s, l, func() bool { return true })
		Eventually(l.all).Should(HaveLen(1))
		Consistently(l.all, "250ms").Should(HaveLen(1))
		w.Kick()
		Eventually(l.all).Should(Equal([]string{"replace a", "apply b"}))
	})

	It("takes what a peer has read, once and without gaps", func() {
		l := &log{}
		s := &script{newest: []currantwood.KeyedWindow{window(10, "a")}}
		w := start(s, l, func() bool { return true })
		Eventually(w.Position).Should(Equal(currantwood.Offset(10)))
		now := time.Now()
		Expect(w.Offer(now, now, 11, 12, window(12, "gap").Records)).To(BeFalse())
		Expect(w.Offer(now, now, 9, 12, window(12, "old", "b", "c").Records)).To(BeTrue())
		Expect(w.Offer(now, now, 9, 12, window(12, "old", "b", "c").Records)).To(BeTrue())
		Expect(l.all()).To(Equal([]string{"replace a", "apply b", "apply c"}))
		Expect(w.Position()).To(Equal(currantwood.Offset(12)))
	})

	It("tells of an absence before the records that came meanwhile, also by a peer", func() {
		l := &log{}
		s := &script{newest: []currantwood.KeyedWindow{window(10, "a")}}
		w := start(s, l, func() bool { return true })
		Eventually(w.Position).Should(Equal(currantwood.Offset(10)))
		Expect(w.Offer(time.Now().Add(5*time.Second), time.Now().Add(5*time.Second), 10, 11, window(11, "b").Records)).To(BeTrue())
		Expect(l.all()).To(Equal([]string{"replace a", "regained", "apply b"}))
	})

	It("counts what a peer tells from when the peer has read it", func() {
		l := &log{}
		s := &script{newest: []currantwood.KeyedWindow{window(10, "a")}}
		w := start(s, l, func() bool { return false })
		Eventually(w.Position).Should(Equal(currantwood.Offset(10)))
		read := time.Now()
		for ms := range 20 {
			Expect(w.Offer(read.Add(time.Duration(ms)*100*time.Millisecond), read, 10, 10, nil)).To(BeTrue())
		}
		Expect(w.Age(read.Add(1900 * time.Millisecond))).To(Equal(1900 * time.Millisecond))
		later := read.Add(1900 * time.Millisecond)
		Expect(w.Offer(later, later, 10, 11, window(11, "b").Records)).To(BeTrue())
		Expect(l.all()).To(Equal([]string{"replace a", "regained", "apply b"}))
	})

	It("tells of an absence though a peer still seemed to read meanwhile", func() {
		l := &log{}
		s := &script{newest: []currantwood.KeyedWindow{window(10, "a")}}
		w := start(s, l, func() bool { return true })
		Eventually(w.Position).Should(Equal(currantwood.Offset(10)))
		// Longer than several looks at whether the peer reads.
		time.Sleep(uncovered + 200*time.Millisecond)
		now := time.Now()
		Expect(w.Offer(now, now, 10, 11, window(11, "b").Records)).To(BeTrue())
		Expect(l.all()).To(Equal([]string{"replace a", "regained", "apply b"}))
	})

	It("doesn't wait for something new while what is known is too old", func() {
		l := &log{}
		s := &script{newest: []currantwood.KeyedWindow{window(10, "a")}}
		f := feed(l, never)
		f.Wait = time.Minute
		f.Stale = func(time.Time) bool { return true }
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		New(ctx, s, zap.NewNop(), time.Now, f)
		Eventually(s.waits, "1s").Should(ContainElement(time.Duration(0)))
	})

	It("is not reachable from its first failed read on, until an answer", func() {
		l := &log{}
		fails := func() (currantwood.KeyedWindow, error) { return currantwood.KeyedWindow{}, errors.New("away") }
		s := &script{newest: []currantwood.KeyedWindow{window(10, "a")}, answers: []func() (currantwood.KeyedWindow, error){fails, fails, answer(window(11, "b"))}}
		w := start(s, l, never)
		Eventually(w.Reachable).Should(BeTrue())
		Eventually(w.Reachable, "1s", "1ms").Should(BeFalse())
		Eventually(l.all, "2s").Should(ContainElement("apply b"))
	})
})
