package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"time"

	"wheatlane/internal/emulator/collector"
	"wheatlane/internal/metrics"
)

//go:embed page.html
var pageTemplate string

var layout = template.Must(template.New("page").Parse(pageTemplate))

// pageData is the data of the page template.
type pageData struct {
	Title               string
	OK                  bool
	Samples, Duplicated int
	Violations          []string
	Unknown, Malformed  map[string]int
	Runs                []incarnationData
}

// incarnationData is the data of the page template for one incarnation of a broker.
type incarnationData struct {
	Broker, Started, Length  string
	Intervals                int    // number of intervals received
	Represented, Last        uint64 // number of intervals merged into these, and the highest sequence number
	Missing                  int64
	Requests, Late, Unserved float64
	Sections                 []Section
}

// Write writes the page for the findings of a collector.
func Write(w io.Writer, title string, f *collector.Findings) error {
	data := pageData{
		Title:      title,
		OK:         f.OK(),
		Samples:    f.Samples,
		Duplicated: f.Duplicated,
		Violations: f.Violations,
		Unknown:    f.Unknown,
		Malformed:  f.Malformed,
	}
	for _, r := range f.Incarnations {
		if len(r.Intervals) == 0 {
			continue
		}
		incarnation, err := newIncarnationData(r)
		if err != nil {
			return err
		}
		data.Runs = append(data.Runs, incarnation)
	}
	if err := layout.Execute(w, data); err != nil {
		return fmt.Errorf("report: execute page template: %w", err)
	}
	return nil
}

// newIncarnationData summarizes an incarnation and renders its charts. The incarnation must have intervals.
func newIncarnationData(r *collector.Incarnation) (incarnationData, error) {
	first, last := timeRange(r)
	late, unserved := lateAndUnserved(r)
	d := incarnationData{
		Broker:      r.Broker,
		Started:     time.UnixMilli(r.StartedMS).UTC().Format(time.RFC3339),
		Length:      (time.Duration(last-first) * time.Second).String(),
		Intervals:   len(r.Intervals),
		Represented: r.Represented,
		Last:        r.LastSequence,
		Missing:     r.Missing(),
		Requests:    r.Total(metrics.Requests),
		Late:        late,
		Unserved:    unserved,
		Sections:    Sections(r, first),
	}
	for i := range d.Sections {
		for j := range d.Sections[i].Charts {
			c := &d.Sections[i].Charts[j]
			c.Length = float64(last - first)
			svg, err := c.render()
			if err != nil {
				return incarnationData{}, err
			}
			c.SVG = svg
		}
	}
	return d, nil
}

// timeRange returns the first and the last timestamp of an incarnation's intervals, Unix time in seconds.
func timeRange(r *collector.Incarnation) (first, last int64) {
	first, last = r.Intervals[0].Timestamp, r.Intervals[0].Timestamp
	for _, v := range r.Intervals {
		first, last = min(first, v.Timestamp), max(last, v.Timestamp)
	}
	return first, last
}

// lateAndUnserved returns the number of requests that were served late and of those that were rejected or failed.
func lateAndUnserved(r *collector.Incarnation) (late, unserved float64) {
	for s, n := range r.Totals(metrics.RequestOutcomes) {
		switch s.LabelIndex {
		case metrics.Late:
			late += n
		case metrics.Rejected, metrics.Failed:
			unserved += n
		}
	}
	return late, unserved
}
