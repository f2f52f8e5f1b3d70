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

// ErrUnknownMetric is returned for a value list that does not represent a metric of the catalogue.
var ErrUnknownMetric = errors.New("collectd: value list of no known metric")

// EachValueList calls f with the value lists of an interval. The host is the broker, the plugin instance is
// DIMENSION-NAME, the type is the metric, and the type instance is the label value. It returns the first error of f, or
// an error if a sketch can't be decoded.
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
	metric := &metrics.Catalogue[s.ID]
	l := ValueList{
		Host:     cardinality.Escape(host),
		Plugin:   pluginName,
		Type:     typePrefix + metric.Name,
		Time:     v.EndTime,
		Interval: v.Duration,
		Values:   values,
	}
	if metric.Dimension != metrics.NoDimension {
		name := cardinality.OtherName
		if !s.Other {
			name = cardinality.Escape(s.Name)
		}
		l.PluginInstance = metric.Dimension.String() + "-" + name
	}
	if len(metric.LabelValues) > 0 {
		l.TypeInstance = metric.LabelValues[s.LabelIndex]
	}
	return l
}

// ParseSeries returns the broker and the series that a value list represents. It fails with ErrUnknownMetric if the
// list does not represent a metric, or if its values are not of the metric's type.
func ParseSeries(l ValueList) (broker string, s metrics.Series, err error) {
	if broker, err = cardinality.Unescape(l.Host); err != nil {
		return "", s, nameError(&l, "host")
	}
	metricName, prefixed := strings.CutPrefix(l.Type, typePrefix)
	id, known := metrics.Find(metricName)
	if !prefixed || !known || l.Plugin != pluginName {
		return "", s, nameError(&l, "type")
	}
	metric := &metrics.Catalogue[id]
	name, other, ok := parseInstance(metric, l.PluginInstance)
	if !ok {
		return "", s, nameError(&l, "plugin instance")
	}
	label, ok := parseLabel(metric, l.TypeInstance)
	if !ok {
		return "", s, nameError(&l, "type instance")
	}
	matches := func(v Value, source dataSource) bool { return v.Kind == source.kind }
	if !slices.EqualFunc(l.Values, dataSources(metric.Kind), matches) {
		return "", s, nameError(&l, "data sources")
	}
	return broker, metrics.Series{ID: id, Name: name, Other: other, LabelIndex: label}, nil
}

// parseInstance parses a plugin instance DIMENSION-NAME, which is empty for a metric without a dimension.
func parseInstance(metric *metrics.Descriptor, instance string) (name string, other, ok bool) {
	dimension, escaped, _ := strings.Cut(instance, "-")
	switch {
	case dimension != metric.Dimension.String():
		return "", false, false
	case metric.Dimension == metrics.NoDimension:
		return "", false, true
	case escaped == cardinality.OtherName:
		return "", true, true
	}
	name, err := cardinality.Unescape(escaped)
	return name, false, err == nil
}

// parseLabel returns the index of a label value, which is empty for a metric without a label.
func parseLabel(metric *metrics.Descriptor, value string) (label int, ok bool) {
	if len(metric.LabelValues) == 0 {
		return 0, value == ""
	}
	label = slices.Index(metric.LabelValues, value)
	return label, label >= 0
}

func nameError(l *ValueList, part string) error {
	return fmt.Errorf("%w: invalid %s in %s/%s-%s/%s-%s",
		ErrUnknownMetric, part, l.Host, l.Plugin, l.PluginInstance, l.Type, l.TypeInstance)
}
