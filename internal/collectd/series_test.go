package collectd

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/internal/metrics"
)

// namedInterval returns an interval with series under each kind of name: plain, reserved, long and with a dash.
func namedInterval() *metrics.Interval {
	limits := metrics.Limits{Classes: 4, Tenants: 4, Engines: 4, DataSets: 4, IdleTimeout: time.Hour}
	r := metrics.NewRegistry(limits, 0, 0)
	for _, name := range []string{"lookup", "other", strings.Repeat(".", 30), "a-b"} {
		slot := r.Slot(metrics.Class, name)
		r.Add(metrics.RequestOutcomes, slot, metrics.Late, 3)
		r.Observe(metrics.AnswerTime, slot, 12.5)
		r.Add(metrics.RequestsByDataSet, r.Slot(metrics.DataSet, name), 0, 2)
	}
	r.Add(metrics.WastedTime, 0, 0, 2.5)
	return r.EndInterval(1_750_000_000*time.Second, 10*time.Second)
}

// Each series is parsed back from its value list, under each kind of name.
func TestSeriesAreParsedBackFromValueLists(t *testing.T) {
	v := namedInterval()
	got := map[metrics.Series][]Value{}
	err := EachValueList(v, "n.1", func(l ValueList) error {
		for _, p := range pack(t, Security{}, l) {
			lists, err := (&Reader{}).Parse(p)
			if err != nil {
				return err
			}
			broker, s, err := ParseSeries(lists[0])
			if err != nil || broker != "n.1" {
				t.Errorf("%+v is parsed with broker %q, error %v", l, broker, err)
			}
			got[s] = lists[0].Values
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(got) != len(v.Points)+len(v.Distributions) {
		t.Errorf("got %d series, want %d", len(got), len(v.Points)+len(v.Distributions))
	}
	for _, p := range v.Points {
		want := Value{Kind: Gauge, Gauge: p.Value}
		if metrics.Catalogue[p.ID].Kind == metrics.Counter {
			want = Value{Kind: Derive, Count: int64(p.Value)}
		}
		if diff := cmp.Diff([]Value{want}, got[p.Series]); diff != "" {
			t.Errorf("%+v: %s", p.Series, diff)
		}
	}
}

func TestParseSeriesErrors(t *testing.T) {
	valid := func() ValueList {
		return ValueList{
			Host: "n1", Plugin: "wheatlane", PluginInstance: "class-lookup",
			Type: "wheatlane_answers", TypeInstance: "late", Values: []Value{{Kind: Derive}},
		}
	}
	if _, _, err := ParseSeries(valid()); err != nil {
		t.Fatal(err)
	}
	for name, corrupt := range map[string]func(*ValueList){
		"host":        func(l *ValueList) { l.Host = "n.1" },
		"plugin":      func(l *ValueList) { l.Plugin = "cpu" },
		"type":        func(l *ValueList) { l.Type = "load" },
		"type prefix": func(l *ValueList) { l.Type = "answers" },
		"dimension":   func(l *ValueList) { l.PluginInstance = "tenant-lookup" },
		"name":        func(l *ValueList) { l.PluginInstance = "class-a.b" },
		"label value": func(l *ValueList) { l.TypeInstance = "tardy" },
		"kind":        func(l *ValueList) { l.Values[0].Kind = Gauge },
		"count":       func(l *ValueList) { l.Values = append(l.Values, Value{Kind: Derive}) },
	} {
		t.Run(name, func(t *testing.T) {
			list := valid()
			corrupt(&list)
			if _, s, err := ParseSeries(list); !errors.Is(err, ErrUnknownMetric) {
				t.Errorf("list with wrong %s is parsed as %+v, error %v", name, s, err)
			}
		})
	}
}

// deploy/types.db, which operators install in collectd, matches the output of 'wheatlane metrics types'.
func TestDeployedTypesDBIsCurrent(t *testing.T) {
	file, err := os.ReadFile("../../deploy/types.db")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(TypesDB(), string(file)); diff != "" {
		t.Fatalf("deploy/types.db differs from the output of 'wheatlane metrics types': %s", diff)
	}
}
