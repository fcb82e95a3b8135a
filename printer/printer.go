// Package printer formats rules in their canonical form. Equal rules are formatted
// identically, so that a diff shows only what changed.
package printer

import (
	"fmt"
	"strings"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/parser"
)

// Print returns the canonical text of rules: the customers, a blank line and the
// rules, without comment lines.
func Print(rules currantwood.Rules) string {
	var b strings.Builder
	for _, customer := range rules.Customers {
		b.WriteString(formatCustomer(customer) + "\n")
	}
	if len(rules.Customers) > 0 && len(rules.Rules) > 0 {
		b.WriteString("\n")
	}
	for _, rule := range rules.Rules {
		b.WriteString(formatRule(rule) + "\n")
	}
	return b.String()
}

// Format converts a rules text to the canonical form, line by line. It keeps comment
// lines, without the space around them, reduces a run of blank lines to one, and
// removes blank lines at the start and the end. Its error is that of parser.Parse.
func Format(text string) (string, error) {
	rules, err := parser.Parse(text)
	if err != nil {
		return "", err
	}
	var lines []string
	for line := range strings.Lines(text) {
		content := strings.TrimSpace(line)
		switch {
		case content == "":
			if len(lines) == 0 || lines[len(lines)-1] == "" {
				continue
			}
			lines = append(lines, "")
		case content[0] == '#':
			lines = append(lines, content)
		case strings.HasPrefix(content, "customer"):
			lines = append(lines, formatCustomer(rules.Customers[0]))
			rules.Customers = rules.Customers[1:]
		default:
			lines = append(lines, formatRule(rules.Rules[0]))
			rules.Rules = rules.Rules[1:]
		}
	}
	if len(lines) > 0 && lines[len(lines)-1] == "" {
		lines = lines[:len(lines)-1]
	}
	if len(lines) == 0 {
		return "", nil
	}
	return strings.Join(lines, "\n") + "\n", nil
}

func formatCustomer(c currantwood.Customer) string {
	line := fmt.Sprintf("customer %s key-hash=%s weight=%d", c.ID, c.KeyHash, c.Weight)
	if c.MaxStreams > 0 {
		line += fmt.Sprintf(" max-streams=%d", c.MaxStreams)
	}
	return line + formatAskedBy(c.AskedBy, c.Comment)
}

func formatRule(r currantwood.Rule) string {
	line := "rule " + string(r.ID)
	line += formatOptional("customer", string(r.Customer))
	line += formatOptional("method", r.Method)
	line += formatOptional("path", r.Path)
	line += formatOptional("model", string(r.Model))
	repeatable := "no"
	if r.Repeatable {
		repeatable = "yes"
	}
	line += fmt.Sprintf(" group=%s class=%s repeatable=%s priority=%d", r.Group, r.Class, repeatable, r.Priority)
	line += " deadline=" + formatDuration(r.Deadline)
	if r.Window > 0 {
		line += " window=" + formatDuration(r.Window)
	}
	return line + formatAskedBy(r.AskedBy, r.Comment)
}

func formatOptional(key, value string) string {
	if value == "" {
		return ""
	}
	return " " + key + "=" + value
}

func formatAskedBy(name, reason string) string {
	if reason == "" {
		return " # asked-by " + name
	}
	return " # asked-by " + name + ": " + reason
}

// formatDuration leaves out the zero parts at the end: 24h, not 24h0m0s.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
