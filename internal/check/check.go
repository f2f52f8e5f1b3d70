// Package check defines the types that the layers of the configuration checker share: parsed files, findings, and
// the entries of the table of checks. The layers are the packages fileformat, rules and fleet in this directory.
package check

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"wheatlane/internal/jsontext"
)

// Severity classifies findings.
type Severity string

// The severities.
const (
	Fault   Severity = "fault"   // with the value, the broker would not start or would violate a requirement
	Warning Severity = "warning" // the value is valid, but probably not intended
)

// Check describes a check. Its documentation is generated from it.
type Check struct {
	Code           string   `json:"code"` // stable: a letter for the layer and a number
	Severity       Severity `json:"severity"`
	Requirement    string   `json:"rule"`    // condition that valid files meet
	Remedy         string   `json:"instead"` // correction of an invalid value
	InvalidExample string   `json:"-"`       // excerpt of an invalid file
	ValidExample   string   `json:"-"`       // the same excerpt, corrected
}

// Finding reports a position in a file at which a check fails.
type Finding struct {
	Check

	File     string `json:"file"`
	Line     int    `json:"line"`   // from 1
	Column   int    `json:"column"` // in bytes from 1
	Key      string `json:"key"`    // path of the value
	Observed string `json:"seen"`   // value that the check rejects
}

// String formats a finding as one line of text.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s %s: %s: %s; %s. Instead: %s",
		f.File, f.Line, f.Column, f.Severity, f.Code, f.Key, f.Observed, f.Requirement, f.Remedy)
}

// Sort sorts findings by file, position and code.
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

// FileKind distinguishes the configuration files of a broker.
type FileKind int

// The kinds of file.
const (
	PlatformFile FileKind = iota // the broker's configuration, in the platform's format
	OperatorFile                 // the operator's configuration
)

// File is a parsed file.
type File struct {
	Name string // path of the file, for findings
	Kind FileKind
	Root *jsontext.Node
}

// DetectKind determines the kind of a file by its keys: only the platform's file has any of those listed here.
func DetectKind(root *jsontext.Node) FileKind {
	for _, key := range []string{"settings", "changelog", "listen", "limits", "known"} {
		if root.Get(key) != nil {
			return PlatformFile
		}
	}
	return OperatorFile
}

// AnyPortSuffix is the end of an address whose port the operating system chooses.
const AnyPortSuffix = ":0"

// position returns the position of the value at a path, or of the innermost existing value that encloses it.
func (f *File) position(path []string) jsontext.Position {
	for length := len(path); length > 0; length-- {
		if value := f.Root.At(path[:length]...); value != nil {
			return value.Position
		}
	}
	return f.Root.Position
}

// NewFinding returns a finding of a check about the value at a path of the file, which need not exist.
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

// Markdown formats checks as the table of the operators' page, with their examples.
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
