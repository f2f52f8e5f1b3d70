// Package report makes one page of charts of what a collector recorded: a single HTML file that needs nothing else.
// What is worst comes first.
package report

import (
	"cmp"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"wheatlane/internal/emulator/collector"
	"wheatlane/internal/metrics"
)

//go:embed page.html
var page string

var layout = template.Must(template.New("page").Parse(page))

// Line is one line of a chart.
type Line struct {
	Name string
	X    []float64 // seconds since the run's start
	Y    []float64
}

// add appends a point.
func (l *Line) add(x, y float64) {
	l.X, l.Y = append(l.X, x), append(l.Y, y)
}

// Chart is a chart of lines over time.
type Chart struct {
	Title, Unit string
	Limit       float64 // drawn across, if over 0
	Lines       []Line
	SVG         template.HTML
	Length      float64 // of the run, seconds
	severity    float64 // what it is ordered by
}

// Section is a group of charts of one question.
type Section struct {
	Title, Note string
	Charts      []Chart
	severity    float64
}

// runView is a run with its times.
type runView struct {
	*collector.Run
	start int64
}

func (r runView) seconds(v *collector.Interval) float64 { return float64(v.At - r.start) }

// Write makes the page of what a collector found.
func Write(w io.Writer, title string, f *collector.Findings) error {
	type life struct {
		Broker, Started, Length  string
		Intervals                int
		Of, Last                 uint64
		Missing                  int64
		Requests, Late, Unserved float64
		Sections                 []Section
	}
	data := struct {
		Title    string
		Findings *collector.Findings
		OK       bool
		Runs     []life
	}{Title: title, Findings: f, OK: f.OK()}
	for _, r := range f.Runs {
		if len(r.Intervals) == 0 {
			continue
		}
		first, last := r.Intervals[0].At, r.Intervals[0].At
		for _, v := range r.Intervals {
			first, last = min(first, v.At), max(last, v.At)
		}
		answers := r.Totals(metrics.Answers)
		late, unserved := 0.0, 0.0
		for s, n := range answers {
			switch s.Part {
			case metrics.Late:
				late += n
			case metrics.Rejected, metrics.Failed:
				unserved += n
			}
		}
		l := life{Broker: r.Broker, Started: time.UnixMilli(r.Started).UTC().Format(time.RFC3339),
			Length: (time.Duration(last-first) * time.Second).String(), Intervals: len(r.Intervals), Of: r.Of, Last: r.Last,
			Missing: r.Missing(), Requests: r.Total(metrics.Requests), Late: late, Unserved: unserved,
			Sections: Sections(r, first)}
		for i := range l.Sections {
			for j := range l.Sections[i].Charts {
				c := &l.Sections[i].Charts[j]
				c.Length = float64(last - first)
				svg, err := render(c)
				if err != nil {
					return err
				}
				c.SVG = svg
			}
		}
		data.Runs = append(data.Runs, l)
	}
	if err := layout.Execute(w, data); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// Sections are the charts of a run whose time begins at from, those that look worst first.
func Sections(r *collector.Run, from int64) []Section {
	of := runView{r, from}
	all := []Section{of.latency(), of.outcomes(), of.rejections(), of.retries(), of.wasted(), of.drains(), of.engines(), of.deliveries(), of.broker()}
	all = slices.DeleteFunc(all, func(s Section) bool { return len(s.Charts) == 0 })
	for i := range all {
		s := &all[i]
		slices.SortStableFunc(s.Charts, func(a, b Chart) int { return cmp.Compare(b.severity, a.severity) })
		s.severity = s.Charts[0].severity
	}
	slices.SortStableFunc(all, func(a, b Section) int { return cmp.Compare(b.severity, a.severity) })
	return all
}

// seriesTitle names a series beside its figure.
func seriesTitle(s metrics.Series) string {
	name := s.Name
	if s.Other {
		name = "all others"
	}
	if parts := metrics.Catalogue[s.Figure].Parts; len(parts) > 0 {
		return strings.TrimSpace(name + " " + strings.ReplaceAll(parts[s.Part], "_", " "))
	}
	return name
}

// rates are the lines of a counter's series, in counts a second. What an interval that waited tells is spread over all
// that it stands for.
func (r runView) rates(id metrics.ID, keep func(metrics.Series) bool) []Line {
	lines := map[metrics.Series]*Line{}
	last := map[metrics.Series]float64{}
	var order []metrics.Series
	for i, v := range r.Intervals {
		span := 0.0
		if i > 0 {
			span = math.Abs(float64(v.At - r.Intervals[i-1].At))
		} else if len(r.Intervals) > 1 && v.Number == 1 { // taken to be as long as the next
			span = math.Abs(float64(r.Intervals[1].At - v.At))
		}
		for s, x := range v.Values {
			if s.Figure != id || keep != nil && !keep(s) {
				continue
			}
			if lines[s] == nil {
				lines[s] = &Line{Name: seriesTitle(s)}
				order = append(order, s)
			}
			if span > 0 {
				lines[s].add(r.seconds(v), (x-last[s])/span)
			}
			last[s] = x
		}
	}
	return r.largest(lines, order)
}

// values are the lines of a gauge's series.
func (r runView) values(id metrics.ID) []Line {
	lines := map[metrics.Series]*Line{}
	var order []metrics.Series
	for _, v := range r.Intervals {
		for s, x := range v.Values {
			if s.Figure != id {
				continue
			}
			if lines[s] == nil {
				lines[s] = &Line{Name: seriesTitle(s)}
				order = append(order, s)
			}
			lines[s].add(r.seconds(v), x)
		}
	}
	return r.largest(lines, order)
}

const maxLines = 8 // in one chart; the others are smaller and would hide these

// largest are the largest lines, by their names.
func (r runView) largest(lines map[metrics.Series]*Line, order []metrics.Series) []Line {
	slices.SortFunc(order, func(a, b metrics.Series) int {
		return cmp.Or(cmp.Compare(sum(lines[b].Y), sum(lines[a].Y)), strings.Compare(seriesTitle(a), seriesTitle(b)))
	})
	var out []Line
	for _, s := range order[:min(len(order), maxLines)] {
		if len(lines[s].X) > 0 {
			out = append(out, *lines[s])
		}
	}
	return out
}

func sum(y []float64) (n float64) {
	for _, v := range y {
		n += v
	}
	return n
}

func maxOf(y []float64) (n float64) {
	for _, v := range y {
		n = max(n, v)
	}
	return n
}

// quantiles are the lines of a distribution, by series.
func (r runView) quantiles(id metrics.ID, stats ...string) map[metrics.Series][]Line {
	out := map[metrics.Series][]Line{}
	for _, v := range r.Intervals {
		for s, told := range v.Spreads {
			if s.Figure != id {
				continue
			}
			if out[s] == nil {
				for _, stat := range stats {
					out[s] = append(out[s], Line{Name: stat})
				}
			}
			for i, stat := range stats {
				if x, there := told[stat]; there {
					out[s][i].add(r.seconds(v), x)
				}
			}
		}
	}
	return out
}

// perSeries makes a chart of each series of a distribution, ordered by its last line.
func (r runView) perSeries(id metrics.ID, limit float64, stats ...string) (all []Chart) {
	fig := metrics.Catalogue[id]
	for s, lines := range r.quantiles(id, stats...) {
		all = append(all, Chart{Title: seriesTitle(s), Unit: fig.Unit, Limit: limit, Lines: lines, severity: maxOf(lines[len(lines)-1].Y)})
	}
	slices.SortFunc(all, func(a, b Chart) int { return strings.Compare(a.Title, b.Title) })
	return all[:min(len(all), maxCharts)]
}

const maxCharts = 12 // in one section

func (r runView) latency() Section {
	return Section{Title: "Latency against the wanted time", Note: "Time to the answer over the time within which the class wants it. Above 1 is late.",
		Charts: r.perSeries(metrics.ObjectiveRatio, 1, "p50", "p95", "p99")}
}

func (r runView) outcomes() Section {
	s := Section{Title: "What became of requests", Note: "Requests a second that were over, by class."}
	classes := map[string][]Line{}
	bad := map[string]float64{}
	for series := range r.Totals(metrics.Answers) {
		name := seriesTitle(metrics.Series{Figure: metrics.Requests, Name: series.Name, Other: series.Other})
		if classes[name] != nil {
			continue
		}
		lines := r.rates(metrics.Answers, func(o metrics.Series) bool { return o.Name == series.Name && o.Other == series.Other })
		for i := range lines {
			lines[i].Name = strings.TrimSpace(strings.TrimPrefix(lines[i].Name, name))
			if lines[i].Name != "in time" {
				bad[name] = max(bad[name], maxOf(lines[i].Y))
			}
		}
		classes[name] = lines
	}
	for name, lines := range classes {
		s.Charts = append(s.Charts, Chart{Title: name, Unit: "a second", Lines: lines, severity: bad[name]})
	}
	slices.SortFunc(s.Charts, func(a, b Chart) int { return strings.Compare(a.Title, b.Title) })
	return s
}

// singleChart makes a section of a single chart, if that has lines.
func singleChart(title, note, unit string, limit, weight float64, lines []Line) Section {
	s := Section{Title: title, Note: note}
	if len(lines) == 0 {
		return s
	}
	worst := 0.0
	for _, l := range lines {
		worst = max(worst, weight*maxOf(l.Y))
	}
	s.Charts = []Chart{{Title: "", Unit: unit, Limit: limit, Lines: lines, severity: worst}}
	return s
}

func (r runView) rejections() Section {
	return singleChart("Refusals by cause", "What was turned away, a second. no room is the decision module's word.", "a second", 0, 1,
		r.rates(metrics.Rejections, nil))
}

func (r runView) retries() Section {
	lines := r.rates(metrics.Attempts, nil)
	for i := range lines {
		lines[i].Name = "attempts: " + lines[i].Name
	}
	for _, id := range []metrics.ID{metrics.ClientRetries, metrics.DuplicateResponses} {
		for _, l := range r.rates(id, nil) {
			l.Name = strings.ReplaceAll(metrics.Catalogue[id].Name, "_", " ") + ": " + l.Name
			lines = append(lines, l)
		}
	}
	return singleChart("Repeats", "Attempts sent, requests that clients marked as retries, and answers that nothing waited for.", "a second", 0, 0, lines)
}

func (r runView) wasted() Section {
	return singleChart("Wasted work", "Milliseconds a second that attempts were out whose answer no client got.", "ms a second", 0, 1.0/1000,
		r.rates(metrics.Wasted, nil))
}

func (r runView) drains() Section {
	return singleChart("Drains", "Time from when a drain was told to the last byte sent to the engine. The rule allows 500 ms.", "ms", 500, 1.0/500,
		r.values(metrics.WorstDrain))
}

func (r runView) engines() Section {
	return singleChart("Engines by health", "", "engines", 0, 0, r.values(metrics.Engines))
}

// deliveries shows how late figures came, and what was folded.
func (r runView) deliveries() Section {
	lag, of := Line{Name: "late by, s"}, Line{Name: "intervals in one"}
	base := math.Inf(1)
	for _, v := range r.Intervals {
		base = min(base, v.Arrived.Seconds()-float64(v.At))
	}
	for _, v := range r.Intervals {
		lag.add(r.seconds(v), v.Arrived.Seconds()-float64(v.At)-base)
		of.add(r.seconds(v), float64(v.Of))
	}
	note := fmt.Sprintf("How long after the quickest each interval came, and how many are folded into one. %d of %d intervals are accounted for.", r.Of, r.Last)
	return singleChart("Delivery", note, "", 0, 0.01, []Line{lag, of})
}

func (r runView) broker() Section {
	s := Section{Title: "The broker itself"}
	if lines := r.values(metrics.Memory); len(lines) > 0 {
		lines[0].Name = "from the system"
		for _, l := range r.values(metrics.Heap) {
			l.Name = "heap"
			lines = append(lines, l)
		}
		for i := range lines {
			for j := range lines[i].Y {
				lines[i].Y[j] /= 1 << 20
			}
		}
		s.Charts = append(s.Charts, Chart{Title: "Memory", Unit: "MB", Lines: lines})
	}
	for _, lines := range r.quantiles(metrics.RoundLag, "p50", "p99", "max") {
		s.Charts = append(s.Charts, Chart{Title: "How late the reducer's turns came", Unit: "ms", Lines: lines})
	}
	return s
}
