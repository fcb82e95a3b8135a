// Package sites holds the rules of both users at their present sizes, with the
// keys of their customers, for the demonstration and for tests. The keys open
// nothing else.
package sites

import (
	// The data files are part of the binary.
	_ "embed"
	"strings"
	"time"

	"github.com/currantwood/currantwood"
)

var (
	//go:embed data/harbourline.rules
	harbourlineRules string
	//go:embed data/harbourline.keys
	harbourlineKeys string
	//go:embed data/cooperative.rules
	cooperativeRules string
	//go:embed data/cooperative.keys
	cooperativeKeys string
)

// CallerKey is what a customer sends in Authorization.
type CallerKey struct {
	Customer currantwood.CustomerID
	Key      string
}

// UpstreamGroup is a number of like upstreams.
type UpstreamGroup struct {
	Group currantwood.GroupID
	Kind  currantwood.UpstreamKind
	// Model is empty for plain services.
	Model currantwood.ModelID
	Count int
}

// Site is one user's installation.
type Site struct {
	Name      string
	Regions   []currantwood.RegionID
	Upstreams []UpstreamGroup
	// Rules is a rules text in canonical form.
	Rules string
	// Keys has one key for each customer in Rules, in the same order.
	Keys []CallerKey
	// ZoneDelay, RegionDelay and ClientDelay are one-way delays.
	ZoneDelay   time.Duration
	RegionDelay time.Duration
	ClientDelay time.Duration
}

// Harbourline returns the installation of Harbourline Court Settlements.
func Harbourline() Site {
	return Site{
		Name:    "harbourline",
		Regions: []currantwood.RegionID{"Kingston", "Montego", "Mandeville"},
		Upstreams: []UpstreamGroup{
			{Group: "summary-writers", Kind: currantwood.UpstreamEngine, Model: "court-summary", Count: 14},
			{Group: "payment-desks", Kind: currantwood.UpstreamService, Count: 3},
		},
		Rules:       harbourlineRules,
		Keys:        parseKeys(harbourlineKeys),
		ZoneDelay:   500 * time.Microsecond,
		RegionDelay: 12 * time.Millisecond,
		ClientDelay: time.Millisecond,
	}
}

// Cooperative returns the installation of the Khovd Steppe Urea Barge
// Cooperative.
func Cooperative() Site {
	return Site{
		Name:    "cooperative",
		Regions: []currantwood.RegionID{"Selenge", "Orkhon", "Khovd"},
		Upstreams: []UpstreamGroup{
			{Group: "plan-writers", Kind: currantwood.UpstreamEngine, Model: "season-plan", Count: 12},
			{Group: "booking-desks", Kind: currantwood.UpstreamService, Count: 3},
		},
		Rules:       cooperativeRules,
		Keys:        parseKeys(cooperativeKeys),
		ZoneDelay:   500 * time.Microsecond,
		RegionDelay: 12 * time.Millisecond,
		ClientDelay: 3 * time.Millisecond,
	}
}

func parseKeys(text string) []CallerKey {
	var keys []CallerKey
	for line := range strings.Lines(text) {
		customer, key, _ := strings.Cut(strings.TrimSpace(line), " ")
		keys = append(keys, CallerKey{Customer: currantwood.CustomerID(customer), Key: key})
	}
	return keys
}
