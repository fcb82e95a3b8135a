// Package linter finds the parts of a configuration that can never take effect, contradict
// each other or don't fit the settings of the gateways' VMs. A sound configuration has no
// finding but notices.
package linter

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/configkeeper"
)

// Finding is one fault of a configuration, or a state of it that operators should know of.
type Finding struct {
	Code     Code     `json:"code"`
	Severity Severity `json:"severity"`
	currantwood.DocumentPosition
	Message string `json:"message"`
}

// NewFinding returns a finding with the severity of its code.
func NewFinding(code Code, at currantwood.DocumentPosition, message string) Finding {
	return Finding{Code: code, Severity: code.Severity(), DocumentPosition: at, Message: message}
}

// Options is what a configuration is checked against besides itself.
type Options struct {
	// Settings are those of a gateway's VM; nil leaves out the checks that need them.
	Settings *currantwood.GatewaySettings
	// RevocationAt is where the settings state the revocation time.
	RevocationAt currantwood.DocumentPosition
	// BodyMemory is the number of bytes that a gateway with these settings may hold of
	// request bodies.
	BodyMemory int64
	// InForce is the configuration that the checked one is to replace; nil if unknown.
	InForce *currantwood.Configuration
}

// Linter checks configurations.
type Linter struct {
	options Options
}

// New returns a linter.
func New(options Options) *Linter { return &Linter{options: options} }

// Lint returns the findings in the order of the document, followed by those that are
// positioned in the settings.
func (l *Linter) Lint(document currantwood.ConfigurationDocument) []Finding {
	c := &check{Options: l.options, document: document}
	c.checkDocument()
	c.checkVersion()
	c.checkRoutes()
	c.checkGroups()
	c.checkCustomers()
	c.checkRegions()
	c.checkRouteLimits()
	c.checkClientLimits()
	c.checkWarmUp()
	slices.SortStableFunc(c.findings, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	c.checkSettings()
	return c.findings
}

// check is the check of one document.
type check struct {
	Options
	document currantwood.ConfigurationDocument
	findings []Finding
}

func (c *check) add(code Code, place currantwood.ConfigurationPlace, format string, args ...any) {
	c.addAt(code, c.document.Locate(place), format, args...)
}

func (c *check) addAt(code Code, at currantwood.DocumentPosition, format string, args ...any) {
	c.findings = append(c.findings, NewFinding(code, at, fmt.Sprintf(format, args...)))
}

// at returns the place of a field in the entry with an index.
func at(field currantwood.ConfigurationField, index int) currantwood.ConfigurationPlace {
	return currantwood.ConfigurationPlace{Field: field, Index: index}
}

// codesOfReplaced are the findings for values that the decoder replaces.
var codesOfReplaced = map[currantwood.ConfigurationField]Code{
	currantwood.FieldRouteKind:       KindUnknown,
	currantwood.FieldGroupWarmUpRate: NumberOutOfRange,
	currantwood.FieldGroupWarmUpTime: NumberOutOfRange,
	currantwood.FieldCustomerKey:     APIKeyEmpty,
}

// checkDocument reports what the decoder replaces or overwrites.
func (c *check) checkDocument() {
	for _, r := range c.document.Replaced {
		c.add(codesOfReplaced[r.Place.Field], r.Place, "gateways use %s in place of %s", r.By, r.Value)
	}
	for _, position := range c.document.Repeated {
		c.addAt(KeyRepeated, position, "the object has this key already, maybe in another letter case: the last value counts, but a list or an object takes what it doesn't state from the earlier one")
	}
}

// checkVersion asks the keeper of the gateways whether it would take the configuration in
// place of the one in force.
func (c *check) checkVersion() {
	if c.InForce == nil {
		return
	}
	keeper := configkeeper.New()
	keeper.SetIfNewer(*c.InForce)
	if !keeper.SetIfNewer(c.document.Configuration) {
		c.add(VersionNotHigher, at(currantwood.FieldVersion, 0), "version %d isn't higher than version %d, which is in force: gateways ignore it", c.document.Version, c.InForce.Version)
	}
}
