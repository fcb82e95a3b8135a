// Package sites describes the installations of the two organizations that run
// currantwood, Harbourline and Cooperative, in their actual size, with rules and
// customers' keys. The demonstration and tests use it; the keys are valid
// nowhere else.
package sites

import (
	// Needed by the go:embed directives.
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

// CustomerKey is a customer's key, which its clients send in the Authorization
// header.
type CustomerKey struct {
	Customer currantwood.CustomerID
	Key      string
}

// UpstreamGroup describes the upstreams of one group, which are all of the same
// kind and report the same model.
type UpstreamGroup struct {
	Group currantwood.GroupID
	Kind  currantwood.UpstreamKind
	// Model is the model that the engines report; empty for plain services.
	// Rules may send requests for other models to the group as well.
	Model currantwood.ModelID
	// Count is the number of upstreams over all regions.
	Count int
}

// Site is what one organization runs in all its regions.
type Site struct {
	Name      string
	Regions   []currantwood.RegionID
	Upstreams []UpstreamGroup
	// Rules is the text of the rules in canonical form.
	Rules string
	// Keys has one key for each customer in Rules, in the same order.
	Keys []CustomerKey
	// ZoneDelay, RegionDelay and ClientDelay are the one-way delays between
	// availability zones, between regions, and between clients and entries.
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

// parseKeys parses lines of the form "CUSTOMER KEY".
func parseKeys(text string) []CustomerKey {
	var keys []CustomerKey
	for line := range strings.Lines(text) {
		customer, key, _ := strings.Cut(strings.TrimSpace(line), " ")
		keys = append(keys, CustomerKey{Customer: currantwood.CustomerID(customer), Key: key})
	}
	return keys
}
