// Package graphite writes and reads figures in the forms that carbon takes: the plaintext protocol, with the tags of
// Graphite 1.1 or without, and the pickle protocol. It works on bytes and does no I/O.
package graphite

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"wheatlane/internal/cardinality"
	"wheatlane/internal/metrics"
)

// ErrName is returned for a path that is none of ours.
var ErrName = errors.New("graphite: not the name of a figure")

// Name is what a path stands for.
type Name struct {
	Broker string
	Series metrics.Series
	Stat   string // of a distribution; see metrics.Stats
}

// Form is how names become paths.
type Form struct {
	Prefix string // ahead of each path, parts split by dots; may be empty
	Tags   bool
}

// Append appends a name's path: PREFIX.BROKER.FIGURE[.NAME][.DETAIL][.STAT], or with tags
// PREFIX.FIGURE[.STAT];broker=BROKER[;DIMENSION=NAME][;DETAIL=...].
func (f Form) Append(dst []byte, n Name) []byte {
	fig := &metrics.Catalogue[n.Series.Figure]
	name := cardinality.OtherName
	if !n.Series.Other {
		name = cardinality.Escape(n.Series.Name)
	}
	if f.Prefix != "" {
		dst = append(append(dst, f.Prefix...), '.')
	}
	if f.Tags {
		dst = append(dst, fig.Name...)
		if n.Stat != "" {
			dst = append(append(dst, '.'), n.Stat...)
		}
		dst = append(append(dst, ";broker="...), cardinality.Escape(n.Broker)...)
		if fig.By != metrics.NoDimension {
			dst = append(append(append(append(dst, ';'), fig.By.String()...), '='), name...)
		}
		if len(fig.Parts) > 0 {
			dst = append(append(append(append(dst, ';'), fig.Detail...), '='), fig.Parts[n.Series.Part]...)
		}
		return dst
	}
	dst = append(append(append(dst, cardinality.Escape(n.Broker)...), '.'), fig.Name...)
	if fig.By != metrics.NoDimension {
		dst = append(append(dst, '.'), name...)
	}
	if len(fig.Parts) > 0 {
		dst = append(append(dst, '.'), fig.Parts[n.Series.Part]...)
	}
	if n.Stat != "" {
		dst = append(append(dst, '.'), n.Stat...)
	}
	return dst
}

// Parse reads a path that Append made.
func (f Form) Parse(path string) (Name, error) {
	rest := path
	if f.Prefix != "" {
		var ok bool
		if rest, ok = strings.CutPrefix(path, f.Prefix+"."); !ok {
			return Name{}, fmt.Errorf("%w: %.80q", ErrName, path)
		}
	}
	n, ok := f.parse(rest)
	// Guards against a second spelling of a name.
	if !ok || string(f.Append(nil, n)) != path {
		return Name{}, fmt.Errorf("%w: %.80q", ErrName, path)
	}
	return n, nil
}

func (f Form) parse(rest string) (n Name, ok bool) {
	var parts []string // what follows the figure, in the order of a path without tags
	var figure, broker string
	if f.Tags {
		metric, tags, _ := strings.Cut(rest, ";")
		var stat string
		figure, stat, _ = strings.Cut(metric, ".")
		for tag := range strings.SplitSeq(tags, ";") {
			key, value, _ := strings.Cut(tag, "=")
			if key == "broker" {
				broker = value
				continue
			}
			parts = append(parts, value)
		}
		if stat != "" {
			parts = append(parts, stat)
		}
	} else {
		all := strings.Split(rest, ".")
		if len(all) < 2 {
			return n, false
		}
		broker, figure, parts = all[0], all[1], all[2:]
	}
	var err error
	if n.Broker, err = cardinality.Unescape(broker); err != nil {
		return n, false
	}
	if n.Series.Figure, ok = metrics.Find(figure); !ok {
		return n, false
	}
	next := func() (p string) {
		if len(parts) > 0 {
			p, parts = parts[0], parts[1:]
		}
		return p
	}
	fig := &metrics.Catalogue[n.Series.Figure]
	if fig.By != metrics.NoDimension {
		if p := next(); p == cardinality.OtherName {
			n.Series.Other = true
		} else if n.Series.Name, err = cardinality.Unescape(p); err != nil {
			return n, false
		}
	}
	if len(fig.Parts) > 0 {
		if n.Series.Part = slices.Index(fig.Parts, next()); n.Series.Part < 0 {
			return n, false
		}
	}
	if fig.Kind == metrics.DistributionKind {
		if n.Stat = next(); !slices.Contains(metrics.Stats, n.Stat) {
			return n, false
		}
	}
	return n, len(parts) == 0
}
