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

// ErrUnknownMetric is returned for a list that stands for no figure.
var ErrUnknownMetric = errors.New("collectd: not a figure of wheatlane's")

// EachValueList calls f with the lists of an interval: the host is the broker, the plugin instance DIMENSION-NAME,
// the type the figure, and the type instance its detail. It ends with the first error of f, or if a sketch
// can't be decoded.
func EachValueList(v *metrics.Interval, host string, f func(ValueList) error) error {
	for _, p := range v.Points {
		if err := f(newList(v, host, p.Series, pointValue(p))); err != nil {
			return err
		}
	}
	for i := range v.Distributions {
		d := &v.Distributions[i]
		values, err := distributionValues(d)
		if err != nil {
			return err
		}
		if err := f(newList(v, host, d.Series, values...)); err != nil {
			return err
		}
	}
	return nil
}

func pointValue(p metrics.Point) Value {
	if metrics.Catalogue[p.ID].Kind == metrics.Counter {
		return Value{Kind: Derive, Count: int64(p.Value)}
	}
	return Value{Kind: Gauge, Gauge: p.Value}
}

func distributionValues(d *metrics.Distribution) ([]Value, error) {
	summary, err := metrics.Summarize(d.EncodedSketch)
	if err != nil {
		return nil, err
	}
	values := make([]Value, 0, len(metrics.StatNames))
	for _, x := range summary.Values() {
		values = append(values, Value{Kind: Gauge, Gauge: x})
	}
	return values, nil
}

func newList(v *metrics.Interval, host string, s metrics.Series, values ...Value) ValueList {
	figure := &metrics.Catalogue[s.ID]
	l := ValueList{
		Host:     cardinality.Escape(host),
		Plugin:   pluginName,
		Type:     typePrefix + figure.Name,
		Time:     v.EndTime,
		Interval: v.Duration,
		Values:   values,
	}
	if figure.Dimension != metrics.NoDimension {
		name := cardinality.OtherName
		if !s.Other {
			name = cardinality.Escape(s.Name)
		}
		l.PluginInstance = figure.Dimension.String() + "-" + name
	}
	if len(figure.LabelValues) > 0 {
		l.TypeInstance = figure.LabelValues[s.LabelIndex]
	}
	return l
}

// ParseSeries is what a list stands for, and its broker. It fails with ErrName if the list stands for no figure,
// or if its values are not of the figure's type.
func ParseSeries(l ValueList) (broker string, s metrics.Series, err error) {
	if broker, err = cardinality.Unescape(l.Host); err != nil {
		return "", s, nameError(&l, "host")
	}
	figureName, prefixed := strings.CutPrefix(l.Type, typePrefix)
	id, known := metrics.Find(figureName)
	if !prefixed || !known || l.Plugin != pluginName {
		return "", s, nameError(&l, "type")
	}
	figure := &metrics.Catalogue[id]
	name, other, ok := parseInstance(figure, l.PluginInstance)
	if !ok {
		return "", s, nameError(&l, "plugin instance")
	}
	label, ok := parseLabel(figure, l.TypeInstance)
	if !ok {
		return "", s, nameError(&l, "type instance")
	}
	matches := func(v Value, source dataSource) bool { return v.Kind == source.kind }
	if !slices.EqualFunc(l.Values, dataSources(figure.Kind), matches) {
		return "", s, nameError(&l, "data sources")
	}
	return broker, metrics.Series{ID: id, Name: name, Other: other, LabelIndex: label}, nil
}

// parseInstance reads DIMENSION-NAME; it is empty for a figure without a dimension.
func parseInstance(figure *metrics.Descriptor, instance string) (name string, other, ok bool) {
	dimension, escaped, _ := strings.Cut(instance, "-")
	switch {
	case dimension != figure.Dimension.String():
		return "", false, false
	case figure.Dimension == metrics.NoDimension:
		return "", false, true
	case escaped == cardinality.OtherName:
		return "", true, true
	}
	name, err := cardinality.Unescape(escaped)
	return name, false, err == nil
}

// parseLabel reads the value of a label; it is empty for a figure without one.
func parseLabel(figure *metrics.Descriptor, value string) (label int, ok bool) {
	if len(figure.LabelValues) == 0 {
		return 0, value == ""
	}
	label = slices.Index(figure.LabelValues, value)
	return label, label >= 0
}

func nameError(l *ValueList, what string) error {
	return fmt.Errorf("%w: %s of %s/%s-%s/%s-%s",
		ErrUnknownMetric, what, l.Host, l.Plugin, l.PluginInstance, l.Type, l.TypeInstance)
}
