package collectd

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"wheatlane/internal/cardinality"
	"wheatlane/internal/metrics"
)

const (
	pluginName = "wheatlane"
	typePrefix = "wheatlane_"
)

// ErrName is returned for a list that is none of ours.
var ErrName = errors.New("collectd: not a figure of wheatlane's")

// Lists calls f with the lists of an interval: the host is the broker, the plugin instance DIMENSION-NAME, the type
// the figure, and the type instance its detail.
func Lists(v *metrics.Interval, host string, f func(List) error) error {
	for _, p := range v.Points {
		value := Value{Kind: Gauge, Gauge: p.Value}
		if metrics.Catalogue[p.Figure].Kind == metrics.Counter {
			value = Value{Kind: Derive, Count: int64(p.Value)}
		}
		if err := f(newList(v, host, p.Series, value)); err != nil {
			return err
		}
	}
	for _, d := range v.Distributions {
		s, err := metrics.Summarize(d.EncodedSketch)
		if err != nil {
			return err
		}
		values := make([]Value, 0, len(metrics.Stats))
		for _, x := range s.Values() {
			values = append(values, Value{Kind: Gauge, Gauge: x})
		}
		if err := f(newList(v, host, d.Series, values...)); err != nil {
			return err
		}
	}
	return nil
}

func newList(v *metrics.Interval, host string, s metrics.Series, values ...Value) List {
	fig := &metrics.Catalogue[s.Figure]
	l := List{Host: cardinality.Escape(host), Plugin: pluginName, Type: typePrefix + fig.Name, Time: v.EndTime, Interval: v.Duration, Values: values}
	if fig.By != metrics.NoDimension {
		name := cardinality.OtherName
		if !s.Other {
			name = cardinality.Escape(s.Name)
		}
		l.PluginInstance = fig.By.String() + "-" + name
	}
	if len(fig.Parts) > 0 {
		l.TypeInstance = fig.Parts[s.Part]
	}
	return l
}

// Figure is what a list stands for, and its broker. Values are checked against the figure's type.
func Figure(l List) (broker string, s metrics.Series, err error) {
	bad := func(what string) (string, metrics.Series, error) {
		return "", s, fmt.Errorf("%w: %s of %s/%s-%s/%s-%s", ErrName, what, l.Host, l.Plugin, l.PluginInstance, l.Type, l.TypeInstance)
	}
	if broker, err = cardinality.Unescape(l.Host); err != nil {
		return bad("host")
	}
	name, ok := strings.CutPrefix(l.Type, typePrefix)
	if s.Figure, ok = metrics.Find(name); !ok || l.Plugin != pluginName {
		return bad("type")
	}
	fig := &metrics.Catalogue[s.Figure]
	dim, instance, _ := strings.Cut(l.PluginInstance, "-")
	switch {
	case dim != fig.By.String():
		return bad("plugin instance")
	case fig.By != metrics.NoDimension && instance == cardinality.OtherName:
		s.Other = true
	case fig.By != metrics.NoDimension:
		if s.Name, err = cardinality.Unescape(instance); err != nil {
			return bad("plugin instance")
		}
	}
	if len(fig.Parts) > 0 {
		if s.Part = slices.Index(fig.Parts, l.TypeInstance); s.Part < 0 {
			return bad("type instance")
		}
	} else if l.TypeInstance != "" {
		return bad("type instance")
	}
	kinds, wanted := []Kind{}, dataSources(fig.Kind)
	for _, v := range l.Values {
		kinds = append(kinds, v.Kind)
	}
	if !slices.EqualFunc(kinds, wanted, func(k Kind, s dataSource) bool { return k == s.kind }) {
		return bad("data sources")
	}
	return broker, s, nil
}

type dataSource struct {
	name string
	kind Kind
}

var dataSourceTypes = map[Kind]string{Counter: "COUNTER", Gauge: "GAUGE", Derive: "DERIVE", Absolute: "ABSOLUTE"}

// dataSources are the data sources of a figure.
func dataSources(k metrics.Kind) []dataSource {
	switch k {
	case metrics.Counter:
		return []dataSource{{"value", Derive}}
	case metrics.Gauge:
		return []dataSource{{"value", Gauge}}
	}
	all := make([]dataSource, 0, len(metrics.Stats))
	for _, s := range metrics.Stats {
		all = append(all, dataSource{s, Gauge})
	}
	return all
}

// TypesDB is the file that tells collectd of our types, a line each; types.db(5).
func TypesDB() string {
	var b strings.Builder
	for _, f := range metrics.Catalogue {
		fmt.Fprintf(&b, "%-40s", typePrefix+f.Name)
		for i, s := range dataSources(f.Kind) {
			sep := ", "
			if i == 0 {
				sep = " "
			}
			fmt.Fprintf(&b, "%s%s:%s:0:U", sep, s.name, dataSourceTypes[s.kind])
		}
		b.WriteByte('\n')
	}
	return b.String()
}
