// Package settingsreader reads and validates the TOML settings file of a process.
// Unknown keys and invalid values are reported with file, line, key and the
// expected value.
package settingsreader

import (
	"bytes"
	stderrors "errors"
	"net"
	"net/url"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
)

// Reader reads settings files for one role.
type Reader struct {
	role currantwood.Role
}

// New returns a reader of settings files for processes of a role.
func New(role currantwood.Role) *Reader { return &Reader{role: role} }

// Read reads a file, fills in the defaults and validates the result. If override
// is not nil, it may change the settings before they are validated.
func (r *Reader) Read(file string, override func(*Settings)) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings: read file")
	}
	return r.Parse(file, text, override)
}

// Parse is Read for the text of a settings file; file is only named in errors.
func (r *Reader) Parse(file string, text []byte, override func(*Settings)) (Settings, error) {
	settings := Defaults()
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, addPosition(file, err)
	}
	if len(settings.Objective) == 0 {
		settings.Objective = DefaultObjectives()
	}
	if override != nil {
		override(&settings)
	}
	for _, c := range r.checks(&settings) {
		if !c.ok {
			return Settings{}, errors.Errorf("settings: %s:%d: %s: expected %s", file, lineOfKey(text, c.key), c.key, c.expected)
		}
	}
	return settings, nil
}

// check is the result of validating one key.
type check struct {
	// key is dotted, such as links.heartbeat.
	key      string
	ok       bool
	expected string
}

func (r *Reader) checks(s *Settings) []check {
	checks := []check{
		{"process", s.Process != "", "a name that no other process has"},
		{"vm", s.VM != "", "the VM's name in the VM list"},
		{"region", s.Region != "", "the region's name"},
		{"zone", s.Zone != "", "the availability zone's name"},
		{"log-level", slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel), "debug, info, warn or error"},
		{"listen.links", isHostPort(s.Listen.Links), "host:port"},
		{"listen.operators", isHostPort(s.Listen.Operators), "host:port"},
		{"platform.log-service", isHTTPURL(s.Platform.LogService), "an http address"},
		{"platform.vm-list", isHTTPURL(s.Platform.VMList), "an http address"},
		{"platform.vm-list-interval", s.Platform.VMListInterval > 0, "a duration above 0"},
		{"platform.log-retention", s.Platform.LogRetention > 0, "a duration above 0"},
		{"links.heartbeat", s.Links.Heartbeat > 0, "a duration above 0"},
		{"links.silence", s.Links.Silence > 2*s.Links.Heartbeat, "more than twice links.heartbeat"},
		{"shutdown.balancer-lag", s.Shutdown.BalancerLag >= 0, "a duration of 0 or more"},
		{"shutdown.limit", s.Shutdown.Limit > s.Shutdown.BalancerLag, "more than shutdown.balancer-lag"},
	}
	if r.role == currantwood.RoleEntry {
		return append(checks, entryChecks(s)...)
	}
	return append(checks, sideChecks(s)...)
}

// maxBodyBytesLimit is the highest valid entry.max-body-bytes. A request body must
// fit into one frame of a link.
const maxBodyBytesLimit = 2 << 20

func entryChecks(s *Settings) []check {
	checks := []check{
		{"listen.callers", isHostPort(s.Listen.Callers), "host:port"},
		{"entry.max-body-bytes", s.Entry.MaxBodyBytes > 0 && s.Entry.MaxBodyBytes <= maxBodyBytesLimit, "1 to 2097152 bytes"},
		{"entry.sides-per-group", s.Entry.SidesPerGroup > 0, "1 or more"},
		{"entry.sides-elsewhere", s.Entry.SidesElsewhere > 0, "1 or more"},
		{"entry.whole-group", s.Entry.WholeGroup > 0, "1 or more"},
		{"entry.retry-share", s.Entry.RetryShare >= 0 && s.Entry.RetryShare <= 1, "0 to 1"},
	}
	for _, o := range s.Objective {
		checks = append(checks,
			check{"objective.name", o.Name != "", "a name"},
			check{"objective.measure", slices.Contains([]string{"first-token", "between-tokens", "stall", "answered"}, o.Measure), "first-token, between-tokens, stall or answered"},
			check{"objective.share", o.Share > 0 && o.Share < 1, "more than 0 and less than 1"},
			check{"objective.window", o.Window > 0, "a duration above 0"},
		)
	}
	return checks
}

func sideChecks(s *Settings) []check {
	return []check{
		{"side.upstream", s.Side.Upstream != "", "the upstream's name"},
		{"side.group", s.Side.Group != "", "the upstream's group"},
		{"side.kind", s.Side.Kind == "engine" || s.Side.Kind == "service", "engine or service"},
		{"side.model", s.Side.Model != "" || s.Side.Kind == "service", "the engine's model"},
		{"side.address", isHTTPURL(s.Side.Address), "an http address"},
		{"side.memory-tokens", s.Side.MemoryTokens >= 0, "0 or more tokens"},
		{"side.reserved-share", s.Side.ReservedShare >= 0 && s.Side.ReservedShare < 1, "0 to less than 1"},
		{"side.confidence", s.Side.Confidence > 0 && s.Side.Confidence < 1, "more than 0 and less than 1"},
	}
}

// addPosition adds the file and line to an error of the TOML decoder.
func addPosition(file string, err error) error {
	var unknown *toml.StrictMissingError
	if stderrors.As(err, &unknown) && len(unknown.Errors) > 0 {
		row, _ := unknown.Errors[0].Position()
		key := strings.Join(unknown.Errors[0].Key(), ".")
		return errors.Errorf("settings: %s:%d: %s: unknown key; docs/settings.toml lists the known keys", file, row, key)
	}
	var invalid *toml.DecodeError
	if stderrors.As(err, &invalid) {
		row, column := invalid.Position()
		return errors.Errorf("settings: %s:%d:%d: %s: %s", file, row, column, strings.Join(invalid.Key(), "."), invalid.Error())
	}
	return errors.Wrapf(err, "settings: %s", file)
}

// lineOfKey returns the line number of a dotted key. It returns the line of the
// key's table if the key is missing, and 1 if the table is missing too.
func lineOfKey(text []byte, key string) int {
	table, name, dotted := strings.Cut(key, ".")
	if !dotted {
		table, name = "", key
	}
	number, currentTable, tableLine := 0, "", 1
	for line := range strings.Lines(string(text)) {
		number++
		trimmed := strings.TrimSpace(line)
		if strings.HasPrefix(trimmed, "[") {
			currentTable = strings.Trim(trimmed, "[]")
			if currentTable == table {
				tableLine = number
			}
			continue
		}
		lineKey, _, _ := strings.Cut(trimmed, "=")
		if currentTable == table && strings.TrimSpace(lineKey) == name {
			return number
		}
	}
	return tableLine
}

func isHostPort(s string) bool {
	_, port, err := net.SplitHostPort(s)
	return err == nil && port != ""
}

func isHTTPURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
