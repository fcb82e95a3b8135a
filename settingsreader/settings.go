package settingsreader

import (
	"time"

	"github.com/currantwood/currantwood/subsetter"
)

// Duration is a time.Duration that is written as in "250ms" or "24h".
type Duration time.Duration

// UnmarshalText reads a duration in the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	*d = Duration(value)
	return err
}

// Std returns the duration in the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Settings is the content of one settings file. The file docs/settings.toml
// documents every key with its unit and default.
type Settings struct {
	// Process is unique among the live processes; never empty.
	Process string `toml:"process"`
	// VM is the name in the platform's VM list; never empty.
	VM string `toml:"vm"`
	// Region and Zone say where the process runs; never empty.
	Region string `toml:"region"`
	Zone   string `toml:"zone"`
	// LogLevel is a level of zap.
	LogLevel string `toml:"log-level"`

	Listen    Listen      `toml:"listen"`
	Platform  Platform    `toml:"platform"`
	Links     Links       `toml:"links"`
	Shutdown  Shutdown    `toml:"shutdown"`
	Entry     Entry       `toml:"entry"`
	Side      Side        `toml:"side"`
	Objective []Objective `toml:"objective"`
}

// Listen holds the addresses a process listens on, each host:port.
type Listen struct {
	// Callers is used by an entry only.
	Callers string `toml:"callers"`
	// Links takes links of other processes.
	Links string `toml:"links"`
	// Operators serves health, readiness, metrics and profiles.
	Operators string `toml:"operators"`
}

// Platform holds the base addresses of the platform's services.
type Platform struct {
	LogService string `toml:"log-service"`
	VMList     string `toml:"vm-list"`
	// VMListInterval is the time between two reads of the VM list.
	VMListInterval Duration `toml:"vm-list-interval"`
	// LogRetention is how long the log service keeps a record.
	LogRetention Duration `toml:"log-retention"`
}

// Links tunes the links between processes.
type Links struct {
	// Heartbeat is the time between two heartbeats; Silence > 2 * Heartbeat.
	Heartbeat Duration `toml:"heartbeat"`
	Silence   Duration `toml:"silence"`
}

// Shutdown tunes the graceful shutdown.
type Shutdown struct {
	// BalancerLag is how long new requests are served after the process said
	// that it is not ready.
	BalancerLag Duration `toml:"balancer-lag"`
	// Limit bounds the whole shutdown.
	Limit Duration `toml:"limit"`
}

// Entry tunes an entry.
type Entry struct {
	// MaxBodyBytes bounds a caller's request body.
	MaxBodyBytes int64 `toml:"max-body-bytes"`
	// SidesPerGroup is the mean number of sides of a group that an entry keeps
	// links to in its own region, and SidesElsewhere in each other region.
	SidesPerGroup  int `toml:"sides-per-group"`
	SidesElsewhere int `toml:"sides-elsewhere"`
	// WholeGroup is the size of a group up to which all its sides are linked.
	WholeGroup int `toml:"whole-group"`
	// RetryShare is the retry budget as a share of first attempts.
	RetryShare float64 `toml:"retry-share"`
}

// Side describes the upstream of a side.
type Side struct {
	Upstream string `toml:"upstream"`
	Group    string `toml:"group"`
	// Kind is engine or service.
	Kind  string `toml:"kind"`
	Model string `toml:"model"`
	// Address is the upstream's base address.
	Address string `toml:"address"`
	// ChecksFencing says that the engine refuses old fencing numbers.
	ChecksFencing bool `toml:"checks-fencing"`
	// MemoryTokens is the engine's memory in tokens; 0 takes the engine's word.
	MemoryTokens int64 `toml:"memory-tokens"`
	// ReservedShare is the part of the memory kept for checks.
	ReservedShare float64 `toml:"reserved-share"`
	// Confidence is that of the predicted memory peak.
	Confidence float64 `toml:"confidence"`
}

// Objective is one service-level objective.
type Objective struct {
	Name string `toml:"name"`
	// Customer and Rule are empty where the objective covers all of them.
	Customer string `toml:"customer"`
	Rule     string `toml:"rule"`
	// Measure is first-token, between-tokens, stall or answered.
	Measure string `toml:"measure"`
	// Bound is the slowest good value; unused for answered.
	Bound Duration `toml:"bound"`
	// Share of the events must be good, 0 < Share < 1.
	Share  float64  `toml:"share"`
	Window Duration `toml:"window"`
}

// DefaultObjectives hold where a settings file names none: the product's goals
// for all customers and rules together.
func DefaultObjectives() []Objective {
	objective := func(measure string, bound time.Duration, share float64) Objective {
		return Objective{Name: measure, Measure: measure, Bound: Duration(bound), Share: share, Window: Duration(30 * 24 * time.Hour)}
	}
	return []Objective{
		objective("first-token", 370*time.Millisecond, 0.95),
		objective("between-tokens", 30*time.Millisecond, 0.95),
		objective("stall", 0, 0.95),
		objective("answered", 0, 0.99),
	}
}

// Defaults returns the settings that hold for keys a file leaves out.
func Defaults() Settings {
	return Settings{
		LogLevel: "info",
		Listen:   Listen{Callers: "127.0.0.1:8080", Links: "127.0.0.1:7080", Operators: "127.0.0.1:9080"},
		Platform: Platform{VMListInterval: Duration(time.Second), LogRetention: Duration(72 * time.Hour)},
		Links:    Links{Heartbeat: Duration(time.Second), Silence: Duration(3 * time.Second)},
		Shutdown: Shutdown{BalancerLag: Duration(5 * time.Second), Limit: Duration(10 * time.Minute)},
		Entry:    Entry{MaxBodyBytes: 1 << 20, SidesPerGroup: subsetter.DefaultOwn, SidesElsewhere: subsetter.DefaultSpill, WholeGroup: subsetter.DefaultAll, RetryShare: 0.1},
		Side:     Side{Kind: "engine", ReservedShare: 0.05, Confidence: 0.95},
	}
}
