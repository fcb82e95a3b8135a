package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/crashkeeper"
)

// crashLoadTimeout is how long a gateway waits for the crashes in the store before
// it serves without them.
const crashLoadTimeout = 2 * time.Second

// RecentCrashes returns up to limit of the recent crashes to report to other gateways, and as many
// of the completions after which crashes don't count. Those that were returned least often go
// first.
func (g *Gateway) RecentCrashes(now time.Time, limit int) ([]crashkeeper.AgedCrash, []crashkeeper.AgedCompletion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.Recent(now, limit), g.crashes.RecentCompletions(now, limit)
}

// ForgottenSuspects returns how many suspects were forgotten although their crashes counted.
func (g *Gateway) ForgottenSuspects() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.Forgotten()
}

// CrashSum returns a checksum of the crashes that all gateways must know.
func (g *Gateway) CrashSum(now time.Time) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.Sum(now)
}

// RecurrentCrashes returns up to limit of the crashes that all gateways must know,
// those of the suspects after one, and the last suspect included.
func (g *Gateway) RecurrentCrashes(now time.Time, after currantwood.Suspect, limit int) ([]crashkeeper.AgedCrash, currantwood.Suspect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.RecurrentCrashes(now, after, limit)
}

// RecordCrashes records crashes and completions that another gateway has reported.
func (g *Gateway) RecordCrashes(now time.Time, from currantwood.VMID, crashes []crashkeeper.AgedCrash, completions []crashkeeper.AgedCompletion) {
	for _, c := range completions {
		g.mu.Lock()
		cleared := g.crashes.ApplyCompletion(now, c)
		g.mu.Unlock()
		if cleared {
			g.Logger.Info("suspect cleared", append(suspectFields(c.Suspect), zap.String("from", string(from)), zap.Duration("age", c.Age))...)
		}
	}
	for _, c := range crashes {
		g.mu.Lock()
		record := g.crashes.Record(now, c)
		g.mu.Unlock()
		if record.New {
			g.logLearned(string(from), c, record.Count)
		}
	}
}

// logLearned counts and logs a crash that this gateway didn't know. from is a VM or
// "store"; count is the number of crashes of the suspect, 0 if not determined.
func (g *Gateway) logLearned(from string, c crashkeeper.AgedCrash, count int) {
	g.instruments.crashesLearned.Inc(1)
	g.Logger.Info("crash learned", append(suspectFields(c.Suspect), zap.String("from", from), zap.String("upstream", string(c.Upstream)), zap.Int64("incarnation", c.Incarnation), zap.Duration("age", c.Age), zap.Int("crashes", count))...)
}

// UnsavedCrashes returns up to limit suspects whose crashes have to be saved in the
// store.
func (g *Gateway) UnsavedCrashes(now time.Time, limit int) []crashkeeper.Unsaved {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.Unsaved(now, limit)
}

// SaveSingleCrashes makes UnsavedCrashes return suspects with one crash, too.
func (g *Gateway) SaveSingleCrashes() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.SaveSingles()
}

// SetCrashSaver sets the function that saves crashes at once. Without it they are only
// saved in the background. It must be called before the first request.
func (g *Gateway) SetCrashSaver(save func(ctx context.Context)) { g.saveCrashes = save }

// MarkCrashesSaved notes that crashes returned by UnsavedCrashes were saved.
func (g *Gateway) MarkCrashesSaved(saved []crashkeeper.Unsaved) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.MarkSaved(saved)
}

// RecordSavedCrashes records the crashes of a suspect that the store holds.
func (g *Gateway) RecordSavedCrashes(now time.Time, suspect crashkeeper.SuspectRecord) {
	g.mu.Lock()
	learned := g.crashes.RecordSaved(now, suspect)
	g.mu.Unlock()
	for _, c := range learned {
		g.logLearned("store", c, 0)
	}
}

// ForgetSavedCrashes notes that the store has come back from an older copy, so that
// crashes have to be saved again.
func (g *Gateway) ForgetSavedCrashes() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.ForgetSaved()
}

// SetCrashesLoaded notes that the store's crashes have been read.
func (g *Gateway) SetCrashesLoaded() { g.crashesLoaded.Store(true) }

// awaitsCrashes reports whether the gateway must not send requests yet since it
// hasn't read the crashes in the store, which a former process may have saved. It
// waits for them no longer than crashLoadTimeout from when it first had a
// configuration, as without that it serves nothing anyway.
func (g *Gateway) awaitsCrashes(now time.Time) bool {
	if g.crashesLoaded.Load() {
		return false
	}
	if g.Configuration.Current() != nil {
		g.configuredAt.CompareAndSwap(0, now.UnixNano())
	}
	configuredAt := g.configuredAt.Load()
	return configuredAt == 0 || now.Sub(time.Unix(0, configuredAt)) < crashLoadTimeout
}
