package reporter

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	vgdraw "gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// WriteJSON writes the report as one line of JSON.
func (r Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

// WriteTable writes the report as an aligned plain-text table.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "OBJECTIVE\tCUSTOMER\tRULE\tGOAL\tBURN RATES\tBUDGET LEFT\tP95")
	for _, o := range r.Objectives {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.1f%%\t%s\n",
			o.Name, nameOrAll(o.Customer), nameOrAll(o.Rule), o.goal(), o.burnRates(), 100*o.BudgetLeft, o.p95())
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return r.writeFooter(w)
}

func (r Report) writeFooter(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%d entries answered; all of them have counted since %s\n", r.Entries, r.Since.Format(time.RFC3339))
	for _, message := range r.Unanswered {
		_, err = fmt.Fprintf(w, "NOT IN THIS REPORT: %s\n", message)
	}
	return err
}

// nameOrAll returns a customer or rule name, or "all" for the empty name.
func nameOrAll(name string) string {
	if name == "" {
		return "all"
	}
	return name
}

// goal describes the objective, such as "95% first-token within 370 ms". A bound of 0
// is left out: "95% stall" is the share of streams without any stall time.
func (o Objective) goal() string {
	if o.BoundMS == 0 {
		return fmt.Sprintf("%g%% %s", 100*o.Share, o.Measure)
	}
	return fmt.Sprintf("%g%% %s within %g ms", 100*o.Share, o.Measure, o.BoundMS)
}

func (o Objective) burnRates() string {
	var rates []string
	for _, b := range o.Burns {
		window := (time.Duration(b.WindowSeconds) * time.Second).String()
		window = strings.TrimSuffix(strings.TrimSuffix(window, "0s"), "0m")
		rates = append(rates, fmt.Sprintf("%s %.2f", window, b.Rate))
	}
	return strings.Join(rates, ", ")
}

func (o Objective) p95() string {
	for _, q := range o.Quantiles {
		if q.Percent == 95 {
			return fmt.Sprintf("%.1f ms", q.MS)
		}
	}
	return "-"
}

// pageTemplate renders the report as one HTML page without external resources.
var pageTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service levels</title>
<style>body{font:16px sans-serif;max-width:60em;margin:2em auto}td,th{padding:.2em .8em;text-align:left}svg{max-width:100%;height:auto}.missing{color:#a00}</style>
</head><body><h1>Service levels</h1>
<p>{{.Report.At.Format "2006-01-02 15:04:05 MST"}}. {{.Report.Entries}} entries answered; all of them have counted since {{.Report.Since.Format "2006-01-02 15:04:05 MST"}}.</p>
{{range .Report.Unanswered}}<p class="missing">Not in this report: {{.}}</p>{{end}}
{{range .Sections}}<h2>{{.Objective.Name}}</h2>
<p>{{.Goal}}, customer {{.Customer}}, rule {{.Rule}}. Budget left: {{.Left}}.</p>
<table><tr><th>window</th><th>events</th><th>bad</th><th>burn rate</th></tr>
{{range .Objective.Burns}}<tr><td>{{.WindowSeconds}} s</td><td>{{.Events}}</td><td>{{.Bad}}</td><td>{{printf "%.2f" .Rate}}</td></tr>{{end}}</table>
{{.Burns}}{{.Quantiles}}{{end}}
</body></html>
`))

// section holds the data of one objective for pageTemplate.
type section struct {
	Objective Objective
	// Left is the remaining error budget.
	Goal, Customer, Rule, Left string
	// Burns and Quantiles are SVG plots.
	Burns, Quantiles template.HTML
}

// WriteHTML writes the report as one self-contained HTML page with SVG plots.
func (r Report) WriteHTML(w io.Writer) error {
	var sections []section
	for _, o := range r.Objectives {
		s := section{
			Objective: o, Goal: o.goal(), Customer: nameOrAll(o.Customer), Rule: nameOrAll(o.Rule),
			Left: fmt.Sprintf("%.1f%%", 100*o.BudgetLeft),
		}
		var err error
		if s.Burns, err = o.plotBurnRates(); err != nil {
			return errors.Wrapf(err, "report: plot %s", o.Name)
		}
		if s.Quantiles, err = o.plotQuantiles(); err != nil {
			return errors.Wrapf(err, "report: plot %s", o.Name)
		}
		sections = append(sections, s)
	}
	return pageTemplate.Execute(w, struct {
		Report   Report
		Sections []section
	}{r, sections})
}

// plotBurnRates renders a bar chart of the burn rate of each window.
func (o Objective) plotBurnRates() (template.HTML, error) {
	p := plot.New()
	p.Title.Text = "burn rate by window"
	p.Y.Min = 0
	var values plotter.Values
	var names []string
	for _, b := range o.Burns {
		values = append(values, b.Rate)
		names = append(names, (time.Duration(b.WindowSeconds) * time.Second).String())
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return "", err
	}
	p.Add(bars, plotter.NewGrid())
	p.NominalX(names...)
	return renderSVG(p)
}

// plotQuantiles renders the value at each reported percentile as a line plot. It
// returns "" if there are no quantiles.
func (o Objective) plotQuantiles() (template.HTML, error) {
	if len(o.Quantiles) == 0 {
		return "", nil
	}
	p := plot.New()
	p.Title.Text = "quantiles of the last hours"
	p.X.Label.Text = "percent"
	p.Y.Label.Text = "ms"
	p.Y.Min = 0
	var points plotter.XYs
	for _, q := range o.Quantiles {
		points = append(points, plotter.XY{X: q.Percent, Y: q.MS})
	}
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return "", err
	}
	p.Add(line, dots, plotter.NewGrid())
	return renderSVG(p)
}

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
	barWidth   = 1 * vg.Centimeter
)

// renderSVG returns the plot as an svg element that can be embedded in HTML.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(vgdraw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", err
	}
	_, body, _ := strings.Cut(svg.String(), "<svg")
	return template.HTML("<svg" + body), nil // safe: generated by gonum/plot, not user input
}
