package graphite

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"wheatlane/internal/cardinality"
	"wheatlane/internal/metrics"
)

// ErrInvalidPath is returned for a path that PathFormat.Append does not produce.
var ErrInvalidPath = errors.New("graphite: invalid metric path")

// brokerTag is the tag that contains the broker's name.
const brokerTag = "broker"

// MetricName identifies the value that a path refers to.
type MetricName struct {
	Broker string
	Series metrics.Series
	Stat   string // for a distribution, one of metrics.StatNames; else empty
}

// PathFormat configures how metric names are formatted as paths.
type PathFormat struct {
	Prefix string // dot-separated prefix of each path; may be empty
	Tags   bool   // use the tags of Graphite 1.1
}

// Append appends the path of a metric name: PREFIX.BROKER.METRIC[.NAME][.LABELVALUE][.STAT], or with tags
// PREFIX.METRIC[.STAT];broker=BROKER[;DIMENSION=NAME][;LABEL=LABELVALUE].
func (f PathFormat) Append(dst []byte, n MetricName) []byte {
	if f.Prefix != "" {
		dst = append(append(dst, f.Prefix...), '.')
	}
	if f.Tags {
		return appendTagged(dst, n)
	}
	return appendDotted(dst, n)
}

func appendDotted(dst []byte, n MetricName) []byte {
	metric := &metrics.Catalogue[n.Series.ID]
	dst = append(dst, cardinality.Escape(n.Broker)...)
	dst = appendPart(dst, metric.Name)
	if metric.Dimension != metrics.NoDimension {
		dst = appendPart(dst, escapedName(&n.Series))
	}
	if len(metric.LabelValues) > 0 {
		dst = appendPart(dst, metric.LabelValues[n.Series.LabelIndex])
	}
	if n.Stat != "" {
		dst = appendPart(dst, n.Stat)
	}
	return dst
}

func appendTagged(dst []byte, n MetricName) []byte {
	metric := &metrics.Catalogue[n.Series.ID]
	dst = append(dst, metric.Name...)
	if n.Stat != "" {
		dst = appendPart(dst, n.Stat)
	}
	dst = appendTag(dst, brokerTag, cardinality.Escape(n.Broker))
	if metric.Dimension != metrics.NoDimension {
		dst = appendTag(dst, metric.Dimension.String(), escapedName(&n.Series))
	}
	if len(metric.LabelValues) > 0 {
		dst = appendTag(dst, metric.Label, metric.LabelValues[n.Series.LabelIndex])
	}
	return dst
}

func appendPart(dst []byte, part string) []byte {
	return append(append(dst, '.'), part...)
}

func appendTag(dst []byte, key, value string) []byte {
	dst = append(append(dst, ';'), key...)
	return append(append(dst, '='), value...)
}

func escapedName(s *metrics.Series) string {
	if s.Other {
		return cardinality.OtherName
	}
	return cardinality.Escape(s.Name)
}

// Parse parses a path that Append produced. It fails with ErrInvalidPath for any other path.
func (f PathFormat) Parse(path string) (MetricName, error) {
	unprefixed := path
	if f.Prefix != "" {
		var ok bool
		if unprefixed, ok = strings.CutPrefix(path, f.Prefix+"."); !ok {
			return MetricName{}, fmt.Errorf("%w: %.80q", ErrInvalidPath, path)
		}
	}
	split := splitDotted
	if f.Tags {
		split = splitTagged
	}
	n, ok := MetricName{}, false
	if p, complete := split(unprefixed); complete {
		n, ok = p.name()
	}
	if !ok || string(f.Append(nil, n)) != path { // only the canonical path is valid
		return MetricName{}, fmt.Errorf("%w: %.80q", ErrInvalidPath, path)
	}
	return n, nil
}

// pathParts holds the parts of a path, still escaped.
type pathParts struct {
	broker, metric string
	remaining      []string // parts after the metric, in the order of a path without tags
}

func splitDotted(path string) (pathParts, bool) {
	all := strings.Split(path, ".")
	if len(all) < 2 {
		return pathParts{}, false
	}
	return pathParts{broker: all[0], metric: all[1], remaining: all[2:]}, true
}

func splitTagged(path string) (pathParts, bool) {
	var p pathParts
	metricAndStat, tags, _ := strings.Cut(path, ";")
	metric, stat, _ := strings.Cut(metricAndStat, ".")
	p.metric = metric
	for tag := range strings.SplitSeq(tags, ";") {
		key, value, _ := strings.Cut(tag, "=")
		if key == brokerTag {
			p.broker = value
			continue
		}
		p.remaining = append(p.remaining, value)
	}
	if stat != "" {
		p.remaining = append(p.remaining, stat)
	}
	return p, true
}

// next removes and returns the first remaining part, or returns "" if there is none.
func (p *pathParts) next() string {
	if len(p.remaining) == 0 {
		return ""
	}
	part := p.remaining[0]
	p.remaining = p.remaining[1:]
	return part
}

// name returns the metric name that the parts represent; ok is false if there is none.
func (p *pathParts) name() (n MetricName, ok bool) {
	var err error
	if n.Broker, err = cardinality.Unescape(p.broker); err != nil {
		return n, false
	}
	if n.Series.ID, ok = metrics.Find(p.metric); !ok {
		return n, false
	}
	metric := &metrics.Catalogue[n.Series.ID]
	if metric.Dimension != metrics.NoDimension {
		if part := p.next(); part == cardinality.OtherName {
			n.Series.Other = true
		} else if n.Series.Name, err = cardinality.Unescape(part); err != nil {
			return n, false
		}
	}
	if len(metric.LabelValues) > 0 {
		if n.Series.LabelIndex = slices.Index(metric.LabelValues, p.next()); n.Series.LabelIndex < 0 {
			return n, false
		}
	}
	if metric.Kind == metrics.DistributionKind {
		if n.Stat = p.next(); !slices.Contains(metrics.StatNames, n.Stat) {
			return n, false
		}
	}
	return n, len(p.remaining) == 0
}
