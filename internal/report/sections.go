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
	maxCharts    = 12  // in one section
	drainLimitMS = 500 // the rule
	mebibyte     = 1 << 20
)

// Section is a group of charts that answer one question.
type Section struct {
	Title, Note string
	Charts      []Chart
	severity    float64
}

// Sections are the charts of a run whose time starts at start, seconds of Unix time; those that look worst
// come first.
func Sections(r *collector.Incarnation, start int64) []Section {
	view := runView{r, start}
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

// perSeries makes a chart of each series of a distribution, ordered by its last line.
func (r runView) perSeries(id metrics.ID, limit float64, stats ...string) []Chart {
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

// single is a section of one chart without a title, or of none if that has no lines. Its severity is the
// largest value by weight.
func single(title, note string, c Chart, weight float64) Section {
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

func (r runView) latency() Section {
	return Section{
		Title: "Latency against the wanted time",
		Note: "Time to the answer over the latency objective of the class. " +
			"Above 1 is late.",
		Charts: r.perSeries(metrics.ObjectiveRatio, 1, "p50", "p95", "p99"),
	}
}

func (r runView) outcomes() Section {
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

// outcomesOf is the chart of one class, that of a series of it. Its severity is the largest rate of what is
// not in time.
func (r runView) outcomesOf(class string, of metrics.Series) Chart {
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

func (r runView) rejections() Section {
	return single("Rejections by cause",
		"What was rejected, a second. no room is a rejection by the decision module.",
		Chart{Unit: "a second", Lines: r.rates(metrics.Rejections, nil)}, 1)
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
	return single("Attempts and retries",
		"Attempts sent, requests that clients marked as retries, and responses that no attempt waited for.",
		Chart{Unit: "a second", Lines: lines}, 0)
}

func (r runView) wasted() Section {
	return single("Wasted work",
		"Milliseconds a second of attempts in flight whose answer no client got.",
		Chart{Unit: "ms a second", Lines: r.rates(metrics.WastedTime, nil)}, 1.0/1000)
}

func (r runView) drains() Section {
	return single("Drains",
		"Time from when a drain was announced to the last byte sent to the engine. The rule allows 500 ms.",
		Chart{Unit: "ms", Limit: drainLimitMS, Lines: r.values(metrics.MaxDrainTime)}, 1.0/drainLimitMS)
}

func (r runView) engines() Section {
	return single("Engines by health", "", Chart{Unit: "engines", Lines: r.values(metrics.Engines)}, 0)
}

// deliveries shows how late intervals came, and how many were folded into one.
func (r runView) deliveries() Section {
	delay, folded := Line{Name: "late by, s"}, Line{Name: "intervals in one"}
	delayOf := func(v *collector.Interval) float64 { return v.Arrived.Seconds() - float64(v.Timestamp) }
	shortest := math.Inf(1)
	for _, v := range r.Intervals {
		shortest = min(shortest, delayOf(v))
	}
	for _, v := range r.Intervals {
		delay.add(r.seconds(v), delayOf(v)-shortest)
		folded.add(r.seconds(v), float64(v.Represented))
	}
	note := fmt.Sprintf("How long after the quickest each interval came, and how many are folded into one. "+
		"%d of %d intervals are accounted for.", r.Represented, r.LastSequence)
	return single("Delivery", note, Chart{Lines: []Line{delay, folded}}, 0.01)
}

func (r runView) broker() Section {
	s := Section{Title: "The broker itself"}
	if lines := r.memoryLines(); len(lines) > 0 {
		s.Charts = append(s.Charts, Chart{Title: "Memory", Unit: "MB", Lines: lines})
	}
	for _, lines := range r.quantiles(metrics.LoopLag, "p50", "p99", "max") {
		s.Charts = append(s.Charts, Chart{Title: "Lag of the reducer's rounds", Unit: "ms", Lines: lines})
	}
	return s
}

// memoryLines are in MB; none if the broker reported no memory.
func (r runView) memoryLines() []Line {
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
