package settingsreader

import (
	"time"

	"github.com/currantwood/currantwood/subsetter"
)

// Duration is a time.Duration that a settings file writes as "250ms" or "24h".
type Duration time.Duration

// UnmarshalText parses text with time.ParseDuration and returns its error.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	*d = Duration(value)
	return err
}

// AsDuration converts d to a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// Settings holds the content of a settings file. docs/settings.toml documents
// every key with its unit and default.
type Settings struct {
	// Process is the process ID, unique among the live processes; never empty.
	Process string `toml:"process"`
	// VM is the name of the VM in the platform's VM list; never empty.
	VM string `toml:"vm"`
	// Region and Zone are the region and availability zone of the process; never
	// empty.
	Region string `toml:"region"`
	Zone   string `toml:"zone"`
	// LogLevel is a zap level: debug, info, warn or error.
	LogLevel string `toml:"log-level"`

	Listen    Listen      `toml:"listen"`
	Platform  Platform    `toml:"platform"`
	Links     Links       `toml:"links"`
	Shutdown  Shutdown    `toml:"shutdown"`
	Entry     Entry       `toml:"entry"`
	Side      Side        `toml:"side"`
	Objective []Objective `toml:"objective"`
}

// Listen holds the addresses that a process listens on, each as host:port.
type Listen struct {
	// Callers accepts HTTP requests of clients; only an entry uses it.
	Callers string `toml:"callers"`
	// Links accepts links from other processes.
	Links string `toml:"links"`
	// Operators serves health, readiness, metrics and profiles.
	Operators string `toml:"operators"`
}

// Platform holds the settings for the platform's services.
type Platform struct {
	// LogService is the base URL of the log service.
	LogService string `toml:"log-service"`
	// VMList is the base URL of the VM list.
	VMList string `toml:"vm-list"`
	// VMListInterval is the interval at which the VM list is read.
	VMListInterval Duration `toml:"vm-list-interval"`
	// LogRetention is how long the log service keeps records.
	LogRetention Duration `toml:"log-retention"`
}

// Links holds the settings for links between processes.
type Links struct {
	// Heartbeat is the interval between heartbeats; above 0.
	Heartbeat Duration `toml:"heartbeat"`
	// Silence is the time without any frame after which a link is closed; more
	// than twice the interval between heartbeats.
	Silence Duration `toml:"silence"`
}

// Shutdown holds the settings for the graceful shutdown.
type Shutdown struct {
	// BalancerLag is how long an entry still serves new requests after it has
	// reported not ready, since load balancers notice that late. A side doesn't use
	// it: it refuses new requests at once.
	BalancerLag Duration `toml:"balancer-lag"`
	// Limit is the maximum duration of the shutdown, including an entry's
	// BalancerLag; more than BalancerLag.
	Limit Duration `toml:"limit"`
}

// Entry holds the settings of an entry.
type Entry struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `toml:"max-body-bytes"`
	// SidesPerGroup is the mean number of sides per group that an entry keeps
	// links to in its own region; SidesElsewhere is that number for each other
	// region.
	SidesPerGroup  int `toml:"sides-per-group"`
	SidesElsewhere int `toml:"sides-elsewhere"`
	// WholeGroup is the size up to which an entry keeps links to all sides of a
	// group.
	WholeGroup int `toml:"whole-group"`
	// RetryShare is the number of retries allowed per first attempt, 0 to 1.
	RetryShare float64 `toml:"retry-share"`
}

// Side holds the settings of a side and its upstream.
type Side struct {
	Upstream string `toml:"upstream"`
	Group    string `toml:"group"`
	// Kind is "engine" or "service".
	Kind  string `toml:"kind"`
	Model string `toml:"model"`
	// Address is the base URL of the upstream.
	Address string `toml:"address"`
	// ChecksFencing is true if the engine refuses old fencing numbers.
	ChecksFencing bool `toml:"checks-fencing"`
	// MemoryTokens is the engine's memory in tokens; 0 means that the engine's own
	// report is used.
	MemoryTokens int64 `toml:"memory-tokens"`
	// ReservedShare is the share of memory reserved for requests of class check.
	ReservedShare float64 `toml:"reserved-share"`
	// Confidence is the probability with which the predicted memory peak must fit
	// into the engine memory available, without the reserved share unless the request
	// is of class check; more than 0 and less than 1.
	Confidence float64 `toml:"confidence"`
}

// Objective is one service-level objective.
type Objective struct {
	Name string `toml:"name"`
	// Customer and Rule are empty if the objective covers all of them.
	Customer string `toml:"customer"`
	Rule     string `toml:"rule"`
	// Measure defines the events that are counted and the value of each:
	//   - "first-token": one event per request that delivers tokens; its value is
	//     the time from the request's arrival to the first delivery.
	//   - "between-tokens": one event per later delivery; its value is the time
	//     since the previous delivery.
	//   - "stall": one event per request that delivers tokens; its value is the sum,
	//     over the gaps between deliveries, of the time above
	//     currantwood.StallThreshold.
	//   - "answered": one event per request, without a value; it is good unless
	//     the client got a refusal that the system is responsible for.
	Measure string `toml:"measure"`
	// Bound is the maximum value of a good event; unused for "answered". For
	// "stall", 0 means that no gap may exceed the threshold.
	Bound Duration `toml:"bound"`
	// Share is the share of events within Window that must be good;
	// more than 0 and less than 1.
	Share  float64  `toml:"share"`
	Window Duration `toml:"window"`
}

// DefaultObjectives returns the objectives that apply if a settings file has
// none. They cover all customers and rules.
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

// Defaults returns the values of keys that a settings file omits.
func Defaults() Settings {
	return Settings{
		LogLevel: "info",
		Listen:   Listen{Callers: "127.0.0.1:8080", Links: "127.0.0.1:7080", Operators: "127.0.0.1:9080"},
		Platform: Platform{VMListInterval: Duration(time.Second), LogRetention: Duration(72 * time.Hour)},
		Links:    Links{Heartbeat: Duration(time.Second), Silence: Duration(3 * time.Second)},
		Shutdown: Shutdown{BalancerLag: Duration(5 * time.Second), Limit: Duration(10 * time.Minute)},
		Entry:    Entry{MaxBodyBytes: 1 << 20, SidesPerGroup: subsetter.DefaultSidesPerGroup, SidesElsewhere: subsetter.DefaultSidesElsewhere, WholeGroup: subsetter.DefaultWholeGroup, RetryShare: 0.1},
		Side:     Side{Kind: "engine", ReservedShare: 0.05, Confidence: 0.95},
	}
}
