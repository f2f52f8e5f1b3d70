package report

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"wheatlane/internal/emulator/collector"
	"wheatlane/internal/metrics"
)

const (
	maxCharts    = 12  // per section
	drainLimitMS = 500 // limit of the drain rule
	mebibyte     = 1 << 20
)

// Section is a group of related charts.
type Section struct {
	Title, Note string
	Charts      []Chart
	severity    float64
}

// Sections returns the non-empty sections of an incarnation, in descending order of severity. The time axes start at
// start, Unix time in seconds.
func Sections(r *collector.Incarnation, start int64) []Section {
	view := incarnationView{r, start}
	all := []Section{
		view.latency(),
		view.outcomes(),
		view.rejections(),
		view.retries(),
		view.wasted(),
		view.drains(),
		view.engines(),
		view.deliveries(),
		view.broker(),
	}
	all = slices.DeleteFunc(all, func(s Section) bool { return len(s.Charts) == 0 })
	for i := range all {
		s := &all[i]
		slices.SortStableFunc(s.Charts, func(a, b Chart) int { return cmp.Compare(b.severity, a.severity) })
		s.severity = s.Charts[0].severity
	}
	slices.SortStableFunc(all, func(a, b Section) int { return cmp.Compare(b.severity, a.severity) })
	return all
}

func byTitle(a, b Chart) int { return strings.Compare(a.Title, b.Title) }

// perSeries returns a chart for each series of a distribution, at most maxCharts in the order of their titles, with a
// line for each statistic. The severity of a chart is the maximum of its last line.
func (r incarnationView) perSeries(id metrics.ID, limit float64, stats ...string) []Chart {
	bySeries := r.quantiles(id, stats...)
	all := make([]Chart, 0, len(bySeries))
	for s, lines := range bySeries {
		all = append(all, Chart{
			Title:    seriesTitle(s),
			Unit:     metrics.Catalogue[id].Unit,
			Limit:    limit,
			Lines:    lines,
			severity: maxOf(lines[len(lines)-1].Y),
		})
	}
	slices.SortFunc(all, byTitle)
	return all[:min(len(all), maxCharts)]
}

// singleChartSection returns a section with one chart without a title, or without charts if the chart has no lines. The
// chart's severity is its largest value times weight.
func singleChartSection(title, note string, c Chart, weight float64) Section {
	s := Section{Title: title, Note: note}
	if len(c.Lines) == 0 {
		return s
	}
	for i := range c.Lines {
		c.severity = max(c.severity, weight*maxOf(c.Lines[i].Y))
	}
	s.Charts = []Chart{c}
	return s
}

func (r incarnationView) latency() Section {
	return Section{
		Title: "Latency against the wanted time",
		Note: "Time to the answer over the latency objective of the class. " +
			"Above 1 is late.",
		Charts: r.perSeries(metrics.ObjectiveRatio, 1, "p50", "p95", "p99"),
	}
}

func (r incarnationView) outcomes() Section {
	s := Section{Title: "Outcomes of requests", Note: "Requests a second that ended, by class."}
	seen := map[string]bool{}
	for series := range r.Totals(metrics.RequestOutcomes) {
		class := seriesTitle(metrics.Series{ID: metrics.Requests, Name: series.Name, Other: series.Other})
		if !seen[class] {
			seen[class] = true
			s.Charts = append(s.Charts, r.outcomesOf(class, series))
		}
	}
	slices.SortFunc(s.Charts, byTitle)
	return s
}

// outcomesOf returns the chart of the class that a series belongs to. The chart's severity is the largest rate of
// requests that were not answered in time.
func (r incarnationView) outcomesOf(class string, of metrics.Series) Chart {
	c := Chart{Title: class, Unit: "a second"}
	c.Lines = r.rates(metrics.RequestOutcomes, func(s metrics.Series) bool {
		return s.Name == of.Name && s.Other == of.Other
	})
	for i := range c.Lines {
		l := &c.Lines[i]
		l.Name = strings.TrimSpace(strings.TrimPrefix(l.Name, class))
		if l.Name != "in time" {
			c.severity = max(c.severity, maxOf(l.Y))
		}
	}
	return c
}

func (r incarnationView) rejections() Section {
	return singleChartSection("Rejections by cause",
		"What was rejected, a second. no room is a rejection by the decision module.",
		Chart{Unit: "a second", Lines: r.rates(metrics.Rejections, nil)}, 1)
}

func (r incarnationView) retries() Section {
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
	return singleChartSection("Attempts and retries",
		"Attempts sent, requests that clients marked as retries, and responses that no attempt waited for.",
		Chart{Unit: "a second", Lines: lines}, 0)
}

func (r incarnationView) wasted() Section {
	return singleChartSection("Wasted work",
		"Milliseconds a second of attempts in flight whose answer no client got.",
		Chart{Unit: "ms a second", Lines: r.rates(metrics.WastedTime, nil)}, 1.0/1000)
}

func (r incarnationView) drains() Section {
	return singleChartSection("Drains",
		"Time from when a drain was announced to the last byte sent to the engine. The rule allows 500 ms.",
		Chart{Unit: "ms", Limit: drainLimitMS, Lines: r.values(metrics.MaxDrainTime)}, 1.0/drainLimitMS)
}

func (r incarnationView) engines() Section {
	return singleChartSection("Engines by health", "", Chart{Unit: "engines", Lines: r.values(metrics.Engines)}, 0)
}

// deliveries charts the delay of each interval's delivery and the number of intervals merged into it. Delays are
// relative to the shortest one, as arrivals are recorded relative to the collector's start.
func (r incarnationView) deliveries() Section {
	delay, merged := Line{Name: "late by, s"}, Line{Name: "intervals in one"}
	delayOf := func(v *collector.Interval) float64 { return v.Arrived.Seconds() - float64(v.Timestamp) }
	shortest := math.Inf(1)
	for _, v := range r.Intervals {
		shortest = min(shortest, delayOf(v))
	}
	for _, v := range r.Intervals {
		delay.add(r.seconds(v), delayOf(v)-shortest)
		merged.add(r.seconds(v), float64(v.Represented))
	}
	note := fmt.Sprintf("How long after the quickest each interval came, and how many are folded into one. "+
		"%d of %d intervals are accounted for.", r.Represented, r.LastSequence)
	return singleChartSection("Delivery", note, Chart{Lines: []Line{delay, merged}}, 0.01)
}

func (r incarnationView) broker() Section {
	s := Section{Title: "The broker itself"}
	if lines := r.memoryLines(); len(lines) > 0 {
		s.Charts = append(s.Charts, Chart{Title: "Memory", Unit: "MB", Lines: lines})
	}
	for _, lines := range r.quantiles(metrics.LoopLag, "p50", "p99", "max") {
		s.Charts = append(s.Charts, Chart{Title: "Lag of the reducer's rounds", Unit: "ms", Lines: lines})
	}
	return s
}

// memoryLines returns the lines of the broker's memory in MB, none if it reported no memory.
func (r incarnationView) memoryLines() []Line {
	lines := r.values(metrics.MemoryBytes)
	if len(lines) == 0 {
		return nil
	}
	lines[0].Name = "from the system"
	for _, l := range r.values(metrics.HeapBytes) {
		l.Name = "heap"
		lines = append(lines, l)
	}
	for i := range lines {
		for j := range lines[i].Y {
			lines[i].Y[j] /= mebibyte
		}
	}
	return lines
}
