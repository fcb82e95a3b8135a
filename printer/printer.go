// Package printer writes rules in their one canonical form, so that two texts
// that mean the same differ in nothing and a diff shows only what changed.
package printer

import (
	"fmt"
	"strings"
	"time"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/parser"
)

// Print writes the customers, a blank line and the rules.
func Print(rules currantwood.Rules) string {
	var b strings.Builder
	for _, customer := range rules.Customers {
		b.WriteString(customerLine(customer) + "\n")
	}
	if len(rules.Customers) > 0 && len(rules.Rules) > 0 {
		b.WriteString("\n")
	}
	for _, rule := range rules.Rules {
		b.WriteString(ruleLine(rule) + "\n")
	}
	return b.String()
}

// Format rewrites a text line by line in the canonical form. Comment lines and
// single blank lines stay where they are. It fails where the parser does.
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
			lines = append(lines, customerLine(rules.Customers[0]))
			rules.Customers = rules.Customers[1:]
		default:
			lines = append(lines, ruleLine(rules.Rules[0]))
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

func customerLine(c currantwood.Customer) string {
	line := fmt.Sprintf("customer %s key-hash=%s weight=%d", c.ID, c.KeyHash, c.Weight)
	if c.MaxStreams > 0 {
		line += fmt.Sprintf(" max-streams=%d", c.MaxStreams)
	}
	return line + asker(c.AskedBy, c.Comment)
}

func ruleLine(r currantwood.Rule) string {
	line := "rule " + string(r.ID)
	line += optional("customer", string(r.Customer))
	line += optional("method", r.Method)
	line += optional("path", r.Path)
	line += optional("model", string(r.Model))
	repeatable := "no"
	if r.Repeatable {
		repeatable = "yes"
	}
	line += fmt.Sprintf(" group=%s class=%s repeatable=%s priority=%d", r.Group, r.Class, repeatable, r.Priority)
	line += " deadline=" + duration(r.Deadline)
	if r.Window > 0 {
		line += " window=" + duration(r.Window)
	}
	return line + asker(r.AskedBy, r.Comment)
}

func optional(key, value string) string {
	if value == "" {
		return ""
	}
	return " " + key + "=" + value
}

func asker(name, comment string) string {
	if comment == "" {
		return " # asked-by " + name
	}
	return " # asked-by " + name + ": " + comment
}

// duration leaves out the zero parts at the end: 24h, not 24h0m0s.
func duration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}
