package graphite

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"wheatlane/internal/metrics"
)

func TestPaths(t *testing.T) {
	late := metrics.Series{ID: metrics.RequestOutcomes, Name: "re.port", LabelIndex: metrics.Late}
	otherEngines := metrics.Series{ID: metrics.EngineTime, Other: true}
	engineNamedOther := metrics.Series{ID: metrics.EngineTime, Name: "other"}
	for _, tt := range []struct {
		form PathFormat
		name MetricName
		want string
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
			if got := string(tt.form.Append(nil, tt.name)); got != tt.want {
				t.Errorf("%+v is %s", tt.name, got)
			}
		})
	}
}

// drawName draws the name of any series.
func drawName(t *rapid.T) MetricName {
	id := metrics.ID(rapid.IntRange(0, len(metrics.Catalogue)-1).Draw(t, "figure"))
	figure := &metrics.Catalogue[id]
	n := MetricName{Broker: rapid.String().Draw(t, "broker"), Series: metrics.Series{ID: id}}
	n.Series.LabelIndex = rapid.IntRange(0, id.SeriesPerName()-1).Draw(t, "part")
	if figure.Dimension != metrics.NoDimension {
		if n.Series.Other = rapid.Bool().Draw(t, "other"); !n.Series.Other {
			n.Series.Name = rapid.String().Draw(t, "name")
		}
	}
	if figure.Kind == metrics.DistributionKind {
		n.Stat = rapid.SampledFrom(metrics.StatNames).Draw(t, "stat")
	}
	return n
}

// Every name comes back from its path, and a path that Append never makes is rejected.
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
			t.Fatalf("%+v became %s and came back %+v, %v", n, path, got, err)
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
			t.Errorf("%q was read as %+v, %v", path, n, err)
		}
	}
}
