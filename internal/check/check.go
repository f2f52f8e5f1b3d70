// Package check holds what the layers of the configuration checker share: files with the positions of their
// values, findings, and the entries of the table of checks. The layers are the packages fileformat, rules and fleet
// in this directory.
package check

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"wheatlane/internal/jsontext"
)

// Severity is how severe a finding is.
type Severity string

// The severities.
const (
	Fault   Severity = "fault"   // the broker would not start with it, or would break a rule
	Warning Severity = "warning" // it is allowed, and probably not intended
)

// Check is an entry of the table of checks, from which the table's documentation is generated.
type Check struct {
	Code           string   `json:"code"` // stable: a letter for the layer and a number
	Severity       Severity `json:"severity"`
	Requirement    string   `json:"rule"`    // what must hold
	Remedy         string   `json:"instead"` // what to write
	InvalidExample string   `json:"-"`       // as it stands in a file
	ValidExample   string   `json:"-"`
}

// Finding is a place in a file that a check rejects.
type Finding struct {
	Check

	File     string `json:"file"`
	Line     int    `json:"line"`
	Column   int    `json:"column"`
	Key      string `json:"key"`
	Observed string `json:"seen"`
}

// String returns a finding as one line for people.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s %s: %s: %s; %s. Instead: %s",
		f.File, f.Line, f.Column, f.Severity, f.Code, f.Key, f.Observed, f.Requirement, f.Remedy)
}

// Sort orders findings by file, position and code.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(
			strings.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
			strings.Compare(a.Code, b.Code),
		)
	})
}

// FileKind is the purpose of a file.
type FileKind int

// The kinds of file.
const (
	PlatformFile FileKind = iota // the broker's configuration, in the platform's form
	OperatorFile                 // the operator's configuration
)

// File is a file that was parsed.
type File struct {
	Name string
	Kind FileKind
	Root *jsontext.Node
}

// DetectKind determines the kind of a file by its content: only the platform's has any of these keys.
func DetectKind(root *jsontext.Node) FileKind {
	for _, key := range []string{"settings", "changelog", "listen", "limits", "known"} {
		if root.Get(key) != nil {
			return PlatformFile
		}
	}
	return OperatorFile
}

// AnyPortSuffix ends an address whose port the system chooses.
const AnyPortSuffix = ":0"

// position returns where a path is in a file, or the innermost value around it that exists.
func (f *File) position(path []string) jsontext.Position {
	for length := len(path); length > 0; length-- {
		if value := f.Root.At(path[:length]...); value != nil {
			return value.Position
		}
	}
	return f.Root.Position
}

// NewFinding returns the finding of a check at a path of the file.
func (f *File) NewFinding(check Check, observed string, path ...string) Finding {
	position := f.position(path)
	return Finding{
		Check:    check,
		File:     f.Name,
		Line:     position.Line,
		Column:   position.Column,
		Key:      jsontext.FormatPath(path...),
		Observed: observed,
	}
}

// Markdown returns the table of checks with their examples, as the operators' page has it.
func Markdown(checks []Check) string {
	escape := strings.NewReplacer("|", `\|`).Replace
	var table strings.Builder
	table.WriteString(
		"| code | severity | what must hold | broken | mended |\n| --- | --- | --- | --- | --- |\n",
	)
	for _, check := range checks {
		fmt.Fprintf(&table, "| %s | %s | %s | `%s` | `%s` |\n",
			check.Code, check.Severity, check.Requirement, escape(check.InvalidExample), escape(check.ValidExample))
	}
	return table.String()
}
