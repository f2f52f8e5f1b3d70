// Package check holds what the layers of the configuration checker share: files with the places of their values,
// findings, and the entries of the table of checks. The layers are form, rules and fleet, below this folder.
package check

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"wheatlane/internal/jsontext"
)

// Severity is how bad a finding is.
type Severity string

// The severities.
const (
	Fault   Severity = "fault"   // the broker would not start with it, or would break a rule
	Warning Severity = "warning" // it is allowed, and probably not meant
)

// Check is an entry of the table of checks, from which its documentation is made.
type Check struct {
	Code     string   `json:"code"` // stable: a letter for the layer and a number
	Severity Severity `json:"severity"`
	Rule     string   `json:"rule"`    // what must hold
	Instead  string   `json:"instead"` // what to write
	Broken   string   `json:"-"`       // an example, as it stands in a file
	Mended   string   `json:"-"`
}

// Finding is a place where a check found something.
type Finding struct {
	Check
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Key    string `json:"key"`
	Seen   string `json:"seen"`
}

func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s %s: %s: %s; %s. Instead: %s", f.File, f.Line, f.Column, f.Severity, f.Code, f.Key, f.Seen, f.Rule, f.Instead)
}

// Sort orders findings by file and place.
func Sort(all []Finding) {
	slices.SortStableFunc(all, func(a, b Finding) int {
		return cmp.Or(strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), strings.Compare(a.Code, b.Code))
	})
}

// Kind is what a file is for.
type Kind int

// The kinds of file.
const (
	Platform Kind = iota // the broker's configuration, in the platform's form
	Operator             // the operator's own file
)

// File is a file that was read.
type File struct {
	Name string
	Kind Kind
	Root *jsontext.Node
}

// KindOf tells the kind of a file by what it holds: the platform's has settings, and the operator's has not.
func KindOf(root *jsontext.Node) Kind {
	for _, key := range []string{"settings", "changelog", "listen", "limits", "known"} {
		if root.Get(key) != nil {
			return Platform
		}
	}
	return Operator
}

// Key writes a path as settings.RequestClasses[0].Name.
func Key(path ...string) string {
	var b strings.Builder
	for _, p := range path {
		if _, err := strconv.Atoi(p); err == nil {
			fmt.Fprintf(&b, "[%s]", p)
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(p)
	}
	if b.Len() == 0 {
		return "the file"
	}
	return b.String()
}

// Place is where a path stands in a file, or the nearest value around it that is there.
func (f *File) Place(path ...string) jsontext.Place {
	for n := len(path); n > 0; n-- {
		if at := f.Root.At(path[:n]...); at != nil {
			return at.Place
		}
	}
	return f.Root.Place
}

// Hit makes a finding of a check at a path.
func (f *File) Hit(c Check, seen string, path ...string) Finding {
	at := f.Place(path...)
	return Finding{Check: c, File: f.Name, Line: at.Line, Column: at.Column, Key: Key(path...), Seen: seen}
}

// Markdown is the table of checks with their examples, which the operators' page holds.
func Markdown(all []Check) string {
	var b strings.Builder
	b.WriteString("| code | severity | what must hold | broken | mended |\n| --- | --- | --- | --- | --- |\n")
	for _, c := range all {
		fmt.Fprintf(&b, "| %s | %s | %s | `%s` | `%s` |\n", c.Code, c.Severity, c.Rule, strings.ReplaceAll(c.Broken, "|", "\\|"),
			strings.ReplaceAll(c.Mended, "|", "\\|"))
	}
	return b.String()
}
