// Package form is the layer of the checker that finds what can't be read: text that is no JSON, keys that come twice or
// are not known, values of a wrong type or out of range. It does no I/O.
package form

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/google/jsonschema-go/jsonschema"

	"wheatlane/internal/check"
	"wheatlane/internal/config"
	"wheatlane/internal/jsontext"
	"wheatlane/internal/operatorconfig"
	"wheatlane/internal/schema"
)

// The checks of this layer.
var (
	Syntax  = check.Check{Code: "F001", Severity: check.Fault, Rule: "a file is one JSON value", Instead: "text that a JSON reader takes", Broken: `{"a":1,}`, Mended: `{"a":1}`}
	Twice   = check.Check{Code: "F002", Severity: check.Fault, Rule: "a key comes once in an object", Instead: "one of the two", Broken: `{"listen":"a","listen":"b"}`, Mended: `{"listen":"b"}`}
	Unknown = check.Check{Code: "F003", Severity: check.Fault, Rule: "a key is one that is known", Instead: "the name that was meant", Broken: `{"telemetery":{}}`, Mended: `{"telemetry":{}}`}
	Type    = check.Check{Code: "F004", Severity: check.Fault, Rule: "a value is of its key's type", Instead: "a value of that type", Broken: `"interval_ms":"10s"`, Mended: `"interval_ms":10000`}
	Range   = check.Check{Code: "F005", Severity: check.Fault, Rule: "a value is within its bounds", Instead: "one that is", Broken: `"interval_ms":5`, Mended: `"interval_ms":10000`}
	Missing = check.Check{Code: "F006", Severity: check.Fault, Rule: "what has no default is there", Instead: "the key with a value", Broken: `{"name":"carbon"}`, Mended: `{"name":"carbon","address":"10.0.0.9:2003"}`}
	Address = check.Check{Code: "F007", Severity: check.Fault, Rule: "an address is an IP address with a port; names are not looked up", Instead: "as in 10.0.0.9:2003", Broken: `"address":"carbon:2003"`, Mended: `"address":"10.0.0.9:2003"`}
	Near    = check.Check{Code: "F008", Severity: check.Warning, Rule: "a key that is not read, and is nearly one that is, is probably meant to be that", Instead: "the name that was meant", Broken: `"RoundNS":5000000`, Mended: `"RoundNs":5000000`}
)

// Table is every check of this layer.
var Table = []check.Check{Syntax, Twice, Unknown, Type, Range, Missing, Address, Near}

var kinds = map[schema.What]check.Check{schema.Type: Type, schema.Unknown: Unknown, schema.Missing: Missing, schema.Range: Range}

// Run reads a file and finds the faults of its form. The file is nil if it can't be read as JSON at all.
func Run(name string, text []byte) (*check.File, []check.Finding, error) {
	root, twice, err := jsontext.Parse(text)
	var bad *jsontext.Error
	if errors.As(err, &bad) {
		return nil, []check.Finding{{Check: Syntax, File: name, Line: bad.Place.Line, Column: bad.Place.Column, Key: check.Key(), Seen: bad.Reason}}, nil
	}
	if err != nil {
		return nil, nil, err
	}
	f := &check.File{Name: name, Kind: check.KindOf(root), Root: root}
	var all []check.Finding
	for _, m := range twice {
		all = append(all, check.Finding{Check: Twice, File: name, Line: m.Place.Line, Column: m.Place.Column, Key: m.Key, Seen: "again"})
	}
	shape := operatorconfig.JSONSchema
	if f.Kind == check.Platform {
		shape = config.JSONSchema
	}
	s, err := shape()
	if err != nil {
		return nil, nil, err
	}
	found, err := schema.Check(s, root.Any())
	if err != nil {
		return nil, nil, err
	}
	for _, x := range found {
		c, seen := kinds[x.What], x.Reason
		if x.What == schema.Unknown {
			if n := nearest(x.Path[len(x.Path)-1], x.Near); n != "" {
				c.Instead = n
			}
		}
		all = append(all, f.Hit(c, seen, x.Path...))
	}
	if f.Kind == check.Platform {
		all = append(all, near(f, s, root, nil)...)
	}
	return f, append(all, addresses(f)...), nil
}

// nearest is the known name that a word is probably meant to be, or empty.
func nearest(word string, known []string) string {
	best, least := "", 3 // more than two letters off is another word
	for _, k := range known {
		if d := levenshtein.ComputeDistance(strings.ToLower(word), strings.ToLower(k)); d < least && d < len(k)/2+1 {
			best, least = k, d
		}
	}
	return best
}

// near finds keys of the platform's file that are not read, and nearly ones that are.
func near(f *check.File, s *jsonschema.Schema, n *jsontext.Node, path []string) (all []check.Finding) {
	known := make([]string, 0, len(s.Properties))
	for k := range s.Properties {
		if n.Get(k) == nil { // one that is there was not meant by another
			known = append(known, k)
		}
	}
	for _, m := range n.Members {
		at := append(path[:len(path):len(path)], m.Key)
		if p := s.Properties[m.Key]; p != nil {
			all = append(all, near(f, p, m.Value, at)...)
		} else if k := nearest(m.Key, known); k != "" {
			c := Near
			c.Instead = k
			all = append(all, f.Hit(c, "not read", at...))
		}
	}
	if s.Items != nil {
		for i, item := range n.Items {
			all = append(all, near(f, s.Items, item, append(path[:len(path):len(path)], fmt.Sprint(i)))...)
		}
	}
	return all
}

// addresses finds texts that are no address where one belongs.
func addresses(f *check.File) (all []check.Finding) {
	look := func(path ...string) {
		n := f.Root.At(path...)
		if n == nil || n.Kind != jsontext.Text {
			return
		}
		if _, err := netip.ParseAddrPort(n.Text); err != nil {
			all = append(all, f.Hit(Address, fmt.Sprintf("%q", n.Text), path...))
		}
	}
	if f.Kind == check.Platform {
		look("listen")
		look("changelog")
		return all
	}
	for _, list := range []string{"graphite", "collectd"} {
		for i := range f.Root.At("telemetry", list).All() {
			look("telemetry", list, fmt.Sprint(i), "address")
		}
	}
	return all
}
