package report

import (
	"bytes"
	"strings"
	"testing"

	"wheatlane/internal/emulator/collector"
	"wheatlane/internal/graphite"
	"wheatlane/internal/metrics"
)

// degradedMinute returns the findings for a minute in which a broker answers route reports late and rejects requests.
func degradedMinute() *collector.Findings {
	var all []collector.Sample
	add := func(at int64, id metrics.ID, name, stat string, label int, v float64) {
		series := metrics.Series{ID: id, Name: name, LabelIndex: label}
		all = append(all, collector.Sample{
			Name: graphite.MetricName{Broker: "n1", Series: series, Stat: stat}, Value: v, Timestamp: at,
		})
	}
	for i := range 6 {
		at, n := int64(1000+10*i), float64(i)
		add(at, metrics.StartTime, "", "", 0, 990)
		add(at, metrics.Sequence, "", "", 0, n+1)
		add(at, metrics.MergedIntervals, "", "", 0, 1)
		add(at, metrics.Requests, "lookup", "", 0, 100*n)
		add(at, metrics.RequestOutcomes, "lookup", "", metrics.InTime, 100*n)
		add(at, metrics.RequestOutcomes, "route-report", "", metrics.Late, 30*n)
		add(at, metrics.Rejections, "", "", metrics.NoCapacity, 5*n)
		for j, stat := range metrics.StatNames {
			add(at, metrics.ObjectiveRatio, "lookup", stat, 0, 0.1*float64(j))
			add(at, metrics.ObjectiveRatio, "route-report", stat, 0, 2*float64(j))
		}
	}
	return collector.Reconcile(all, 0, nil, nil)
}

// Sections and charts are in descending order of severity: late classes ahead of classes in time, latency ahead of
// sections without a problem.
func TestSectionsAreSortedBySeverity(t *testing.T) {
	f := degradedMinute()
	sections := Sections(f.Incarnations[0], 1000)
	first := sections[0]
	if first.Title != "Latency against the wanted time" || first.Charts[0].Title != "route-report" {
		t.Fatalf("the first chart is %s, %s; want the latency of route-report", first.Title, first.Charts[0].Title)
	}
	for i := 1; i < len(sections); i++ {
		if sections[i].severity > sections[i-1].severity {
			t.Errorf("%s comes after %s, which is less severe", sections[i].Title, sections[i-1].Title)
		}
	}
}

// A rate is the increase of a counter divided by the length of the interval.
func TestRatesAreIncreasePerSecond(t *testing.T) {
	f := degradedMinute()
	lines := incarnationView{f.Incarnations[0], 1000}.rates(metrics.Rejections, nil)
	if len(lines) != 1 || lines[0].Name != "no room" || len(lines[0].X) != 6 {
		t.Fatalf("lines %+v, want one named no room with 6 points", lines)
	}
	for i, y := range lines[0].Y {
		if want := 0.5; i > 0 && y != want || lines[0].X[i] != float64(10*i) {
			t.Errorf("at %v: got %v, want %v", lines[0].X[i], y, want)
		}
	}
}

// The page must load no external resource, and must escape texts that it receives, such as metric names.
func TestPageIsSelfContainedAndEscapesText(t *testing.T) {
	f := degradedMinute()
	f.Violations = []string{"<script>alert(1)</script>"}
	var b bytes.Buffer
	if err := Write(&b, "A <b>night</b>", f); err != nil {
		t.Fatal(err)
	}
	page := b.String()
	for _, bad := range []string{"<script", "src=", "<b>night", "@import", "url("} {
		if strings.Contains(page, bad) {
			t.Errorf("the page contains %q", bad)
		}
	}
	for _, want := range []string{"<svg", "Rules were broken", "route-report", "&lt;script&gt;"} {
		if !strings.Contains(page, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
}

func TestWriteAcceptsEmptyRecording(t *testing.T) {
	var b bytes.Buffer
	if err := Write(&b, "Nothing", collector.Reconcile(nil, 0, nil, nil)); err != nil {
		t.Fatal(err)
	}
}
