// Package renderer writes the result of the check of a configuration as text or JSON.
package renderer

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/configcheck/comparer"
	"github.com/currantwood/currantwood/configcheck/linter"
)

// Report is the result of a check.
type Report struct {
	File      string                           `json:"file"`
	Version   currantwood.ConfigurationVersion `json:"version"`
	Routes    int                              `json:"routes"`
	Groups    int                              `json:"groups"`
	Customers int                              `json:"customers"`
	Findings  []linter.Finding                 `json:"findings"`
	// Against names the version in force; empty if it wasn't compared.
	Against     string                `json:"against,omitempty"`
	Differences []comparer.Difference `json:"differences"`
}

// Errors returns the number of findings that aren't notices.
func (r Report) Errors() int {
	count := 0
	for _, f := range r.Findings {
		if f.Severity == linter.Error {
			count++
		}
	}
	return count
}

// Renderer writes reports.
type Renderer struct {
	// JSON is whether reports are written as one JSON document rather than text.
	JSON bool
}

// Render writes a report.
func (r Renderer) Render(out io.Writer, report Report) error {
	if r.JSON {
		return renderJSON(out, report)
	}
	return errors.Wrap(renderText(out, report), "write report")
}

// renderJSON writes an indented document. Lists are never null.
func renderJSON(out io.Writer, report Report) error {
	report.Findings = append([]linter.Finding{}, report.Findings...)
	report.Differences = append([]comparer.Difference{}, report.Differences...)
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(report), "write report as JSON")
}

// renderText writes a line for each finding and each difference, then a summary.
func renderText(out io.Writer, report Report) error {
	for _, f := range report.Findings {
		prefix := ""
		if f.Severity == linter.Notice {
			prefix = "notice: "
		}
		if _, err := fmt.Fprintf(out, "%s%s: %s (%s)\n", prefix, f.DocumentPosition, f.Message, f.Code); err != nil {
			return err
		}
	}
	for _, d := range report.Differences {
		if _, err := fmt.Fprintf(out, "change: %s: %s (%s)\n", d.DocumentPosition, d.Message, d.Code); err != nil {
			return err
		}
	}
	summary := fmt.Sprintf("%s: version %d, %d routes, %d groups, %d customers; findings: %d",
		report.File, report.Version, report.Routes, report.Groups, report.Customers, report.Errors())
	if notices := len(report.Findings) - report.Errors(); notices > 0 {
		summary += fmt.Sprintf("; notices: %d", notices)
	}
	if report.Against != "" {
		summary += fmt.Sprintf("; changes from %s: %d", report.Against, len(report.Differences))
	}
	_, err := fmt.Fprintln(out, summary)
	return err
}
