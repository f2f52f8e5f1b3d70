package graphite

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"wheatlane/internal/cardinality"
	"wheatlane/internal/metrics"
)

// ErrInvalidPath is returned for a path that Form.Append never makes.
var ErrInvalidPath = errors.New("graphite: not the name of a figure")

// brokerTag is the tag of the broker.
const brokerTag = "broker"

// MetricName is what a path stands for.
type MetricName struct {
	Broker string
	Series metrics.Series
	Stat   string // of a distribution, one of metrics.Stats; else empty
}

// PathFormat is how names become paths.
type PathFormat struct {
	Prefix string // of each path, its parts separated by dots; may be empty
	Tags   bool   // those of Graphite 1.1
}

// Append appends a name's path: PREFIX.BROKER.FIGURE[.NAME][.DETAIL][.STAT], or with tags
// PREFIX.FIGURE[.STAT];broker=BROKER[;DIMENSION=NAME][;DETAIL=...].
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
	figure := &metrics.Catalogue[n.Series.ID]
	dst = append(dst, cardinality.Escape(n.Broker)...)
	dst = appendPart(dst, figure.Name)
	if figure.Dimension != metrics.NoDimension {
		dst = appendPart(dst, escapedName(&n.Series))
	}
	if len(figure.LabelValues) > 0 {
		dst = appendPart(dst, figure.LabelValues[n.Series.LabelIndex])
	}
	if n.Stat != "" {
		dst = appendPart(dst, n.Stat)
	}
	return dst
}

func appendTagged(dst []byte, n MetricName) []byte {
	figure := &metrics.Catalogue[n.Series.ID]
	dst = append(dst, figure.Name...)
	if n.Stat != "" {
		dst = appendPart(dst, n.Stat)
	}
	dst = appendTag(dst, brokerTag, cardinality.Escape(n.Broker))
	if figure.Dimension != metrics.NoDimension {
		dst = appendTag(dst, figure.Dimension.String(), escapedName(&n.Series))
	}
	if len(figure.LabelValues) > 0 {
		dst = appendTag(dst, figure.Label, figure.LabelValues[n.Series.LabelIndex])
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

// Parse reads a path that Append made. It fails with ErrName for any other.
func (f PathFormat) Parse(path string) (MetricName, error) {
	rest := path
	if f.Prefix != "" {
		var ok bool
		if rest, ok = strings.CutPrefix(path, f.Prefix+"."); !ok {
			return MetricName{}, fmt.Errorf("%w: %.80q", ErrInvalidPath, path)
		}
	}
	split := splitDotted
	if f.Tags {
		split = splitTagged
	}
	n, ok := MetricName{}, false
	if p, complete := split(rest); complete {
		n, ok = p.name()
	}
	if !ok || string(f.Append(nil, n)) != path { // a name has one spelling
		return MetricName{}, fmt.Errorf("%w: %.80q", ErrInvalidPath, path)
	}
	return n, nil
}

// pathParts are the parts of a path, escaped as they are.
type pathParts struct {
	broker, figure string
	rest           []string // what follows the figure, in the order of a path without tags
}

func splitDotted(path string) (pathParts, bool) {
	all := strings.Split(path, ".")
	if len(all) < 2 {
		return pathParts{}, false
	}
	return pathParts{broker: all[0], figure: all[1], rest: all[2:]}, true
}

func splitTagged(path string) (pathParts, bool) {
	var p pathParts
	metric, tags, _ := strings.Cut(path, ";")
	figure, stat, _ := strings.Cut(metric, ".")
	p.figure = figure
	for tag := range strings.SplitSeq(tags, ";") {
		key, value, _ := strings.Cut(tag, "=")
		if key == brokerTag {
			p.broker = value
			continue
		}
		p.rest = append(p.rest, value)
	}
	if stat != "" {
		p.rest = append(p.rest, stat)
	}
	return p, true
}

// next takes the first part off what follows the figure; it is empty when there is none.
func (p *pathParts) next() string {
	if len(p.rest) == 0 {
		return ""
	}
	part := p.rest[0]
	p.rest = p.rest[1:]
	return part
}

// name is what the parts stand for; ok is false if they stand for nothing.
func (p *pathParts) name() (n MetricName, ok bool) {
	var err error
	if n.Broker, err = cardinality.Unescape(p.broker); err != nil {
		return n, false
	}
	if n.Series.ID, ok = metrics.Find(p.figure); !ok {
		return n, false
	}
	figure := &metrics.Catalogue[n.Series.ID]
	if figure.Dimension != metrics.NoDimension {
		if part := p.next(); part == cardinality.OtherName {
			n.Series.Other = true
		} else if n.Series.Name, err = cardinality.Unescape(part); err != nil {
			return n, false
		}
	}
	if len(figure.LabelValues) > 0 {
		if n.Series.LabelIndex = slices.Index(figure.LabelValues, p.next()); n.Series.LabelIndex < 0 {
			return n, false
		}
	}
	if figure.Kind == metrics.DistributionKind {
		if n.Stat = p.next(); !slices.Contains(metrics.StatNames, n.Stat) {
			return n, false
		}
	}
	return n, len(p.rest) == 0
}
