package graphite

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"wheatlane/internal/metrics"
)

func TestPathsInEachFormat(t *testing.T) {
	late := metrics.Series{ID: metrics.RequestOutcomes, Name: "re.port", LabelIndex: metrics.Late}
	otherEngines := metrics.Series{ID: metrics.EngineTime, Other: true}
	engineNamedOther := metrics.Series{ID: metrics.EngineTime, Name: "other"}
	for _, tt := range []struct {
		format PathFormat
		name   MetricName
		want   string
	}{
		{
			PathFormat{Prefix: "sea.wheatlane"},
			MetricName{Broker: "n1", Series: late},
			"sea.wheatlane.n1.answers.re_2eport.late",
		},
		{
			PathFormat{Prefix: "wheatlane", Tags: true},
			MetricName{Broker: "n1", Series: late},
			"wheatlane.answers;broker=n1;class=re_2eport;outcome=late",
		},
		{
			PathFormat{},
			MetricName{Broker: "", Series: metrics.Series{ID: metrics.OpenRequests}},
			"_.open_requests",
		},
		{
			PathFormat{Tags: true},
			MetricName{Broker: "n 1", Series: otherEngines, Stat: "p99"},
			"engine_ms.p99;broker=n_201;engine=other",
		},
		{
			PathFormat{},
			MetricName{Broker: "n1", Series: engineNamedOther, Stat: "max"},
			"n1.engine_ms._6fther.max",
		},
	} {
		t.Run(tt.want, func(t *testing.T) {
			if got := string(tt.format.Append(nil, tt.name)); got != tt.want {
				t.Errorf("path of %+v: got %s, want %s", tt.name, got, tt.want)
			}
		})
	}
}

// drawName draws the metric name of a random series.
func drawName(t *rapid.T) MetricName {
	id := metrics.ID(rapid.IntRange(0, len(metrics.Catalogue)-1).Draw(t, "metric"))
	metric := &metrics.Catalogue[id]
	n := MetricName{Broker: rapid.String().Draw(t, "broker"), Series: metrics.Series{ID: id}}
	n.Series.LabelIndex = rapid.IntRange(0, id.SeriesPerName()-1).Draw(t, "label")
	if metric.Dimension != metrics.NoDimension {
		if n.Series.Other = rapid.Bool().Draw(t, "other"); !n.Series.Other {
			n.Series.Name = rapid.String().Draw(t, "name")
		}
	}
	if metric.Kind == metrics.DistributionKind {
		n.Stat = rapid.SampledFrom(metrics.StatNames).Draw(t, "stat")
	}
	return n
}

// Each metric name is parsed back from its path, and paths that Append does not produce are rejected.
func TestPathsAreOneToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := drawName(t)
		f := PathFormat{
			Prefix: rapid.SampledFrom([]string{"", "a", "a.b-c_d"}).Draw(t, "prefix"),
			Tags:   rapid.Bool().Draw(t, "tags"),
		}
		path := string(f.Append(nil, n))
		got, err := f.Parse(path)
		if err != nil || got != n {
			t.Fatalf("path %s of %+v is parsed as %+v, error %v", path, n, got, err)
		}
	})
	for _, path := range []string{
		"",
		"wheatlane",
		"wheatlane.n1.bogus",
		"wheatlane.n1.answers.lookup",
		"wheatlane.n1.answers.lookup.late.more",
		"other.n1.open_requests",
		"wheatlane.n1.answers.loo kup.late",
		"wheatlane.n1.engine_ms.e.p98",
	} {
		if n, err := (PathFormat{Prefix: "wheatlane"}).Parse(path); !errors.Is(err, ErrInvalidPath) {
			t.Errorf("invalid path %q is parsed as %+v, error %v", path, n, err)
		}
	}
}
