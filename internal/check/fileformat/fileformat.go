// Package fileformat is the layer of the checker that finds text and values that a broker can't decode: text that is
// not JSON, duplicate and unknown keys, and values of a wrong type or out of range. It does no I/O.
package fileformat

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
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
	Syntax = check.Check{
		Code:           "F001",
		Severity:       check.Fault,
		Requirement:    "a file is one JSON value",
		Remedy:         "text that a JSON reader takes",
		InvalidExample: `{"a":1,}`,
		ValidExample:   `{"a":1}`,
	}
	DuplicateKey = check.Check{
		Code:           "F002",
		Severity:       check.Fault,
		Requirement:    "a key comes once in an object",
		Remedy:         "one of the two",
		InvalidExample: `{"listen":"a","listen":"b"}`,
		ValidExample:   `{"listen":"b"}`,
	}
	UnknownKey = check.Check{
		Code:           "F003",
		Severity:       check.Fault,
		Requirement:    "a key is one that is known",
		Remedy:         "the name that was meant",
		InvalidExample: `{"telemetery":{}}`,
		ValidExample:   `{"telemetry":{}}`,
	}
	InvalidType = check.Check{
		Code:           "F004",
		Severity:       check.Fault,
		Requirement:    "a value is of its key's type",
		Remedy:         "a value of that type",
		InvalidExample: `"interval_ms":"10s"`,
		ValidExample:   `"interval_ms":10000`,
	}
	OutOfRange = check.Check{
		Code:           "F005",
		Severity:       check.Fault,
		Requirement:    "a value is within its bounds",
		Remedy:         "one that is",
		InvalidExample: `"interval_ms":5`,
		ValidExample:   `"interval_ms":10000`,
	}
	MissingKey = check.Check{
		Code:           "F006",
		Severity:       check.Fault,
		Requirement:    "what has no default is there",
		Remedy:         "the key with a value",
		InvalidExample: `{"name":"carbon"}`,
		ValidExample:   `{"name":"carbon","address":"10.0.0.9:2003"}`,
	}
	InvalidAddress = check.Check{
		Code:           "F007",
		Severity:       check.Fault,
		Requirement:    "an address is an IP address with a port; names are not looked up",
		Remedy:         "as in 10.0.0.9:2003",
		InvalidExample: `"address":"carbon:2003"`,
		ValidExample:   `"address":"10.0.0.9:2003"`,
	}
	SimilarKey = check.Check{
		Code:           "F008",
		Severity:       check.Warning,
		Requirement:    "a key that is not read, and nearly one that is, is probably that one",
		Remedy:         "the name that was meant",
		InvalidExample: `"RoundNS":5000000`,
		ValidExample:   `"RoundNs":5000000`,
	}
)

// Table lists all checks of this layer.
var Table = []check.Check{
	Syntax, DuplicateKey, UnknownKey, InvalidType, OutOfRange, MissingKey, InvalidAddress, SimilarKey,
}

// checkOf maps the kinds of schema violation to checks.
var checkOf = map[schema.ViolationKind]check.Check{
	schema.InvalidType: InvalidType,
	schema.UnknownKey:  UnknownKey,
	schema.MissingKey:  MissingKey,
	schema.OutOfRange:  OutOfRange,
}

// Run parses a file and returns the findings of this layer. The file is nil if its text is not JSON.
func Run(name string, text []byte) (*check.File, []check.Finding, error) {
	root, duplicates, err := jsontext.Parse(text)
	if syntaxError, ok := errors.AsType[*jsontext.SyntaxError](err); ok {
		return nil, []check.Finding{syntaxFinding(name, syntaxError)}, nil
	}
	if err != nil {
		return nil, nil, err
	}
	file := &check.File{Name: name, Kind: check.DetectKind(root), Root: root}
	fileSchema, err := schemaOf(file.Kind)
	if err != nil {
		return nil, nil, err
	}
	violations, err := schema.Validate(fileSchema, root.Any())
	if err != nil {
		return nil, nil, err
	}
	findings := duplicateFindings(name, duplicates)
	for _, violation := range violations {
		findings = append(findings, violationFinding(file, violation))
	}
	if file.Kind == check.PlatformFile {
		findings = append(findings, similarKeys(file, fileSchema, root, nil)...)
	}
	return file, append(findings, invalidAddresses(file)...), nil
}

// schemaOf returns the schema for files of a kind.
func schemaOf(kind check.FileKind) (*jsonschema.Schema, error) {
	if kind == check.PlatformFile {
		return config.JSONSchema()
	}
	return operatorconfig.JSONSchema()
}

func syntaxFinding(file string, err *jsontext.SyntaxError) check.Finding {
	return check.Finding{
		Check:    Syntax,
		File:     file,
		Line:     err.Position.Line,
		Column:   err.Position.Column,
		Key:      jsontext.FormatPath(),
		Observed: err.Reason,
	}
}

func duplicateFindings(file string, duplicates []jsontext.Member) []check.Finding {
	findings := make([]check.Finding, 0, len(duplicates))
	for _, member := range duplicates {
		findings = append(findings, check.Finding{
			Check:    DuplicateKey,
			File:     file,
			Line:     member.Position.Line,
			Column:   member.Position.Column,
			Key:      member.Key,
			Observed: "again",
		})
	}
	return findings
}

// violationFinding converts a violation of the schema to a finding. For an unknown key, the remedy is the known key
// that is similar to it, if any.
func violationFinding(file *check.File, violation schema.Violation) check.Finding {
	violated := checkOf[violation.Kind]
	if violation.Kind == schema.UnknownKey {
		if similar := closestName(violation.Path[len(violation.Path)-1], violation.KnownKeys); similar != "" {
			violated.Remedy = similar
		}
	}
	return file.NewFinding(violated, violation.Reason, violation.Path...)
}

const (
	maxEditDistance = 2 // Levenshtein distance up to which two keys are similar
	shortKeyDivisor = 2 // of a short key, at most 1/shortKeyDivisor of the letters may differ
)

// closestName returns the known key with the smallest Levenshtein distance to a key, ignoring case. It returns the
// empty string if none is similar: at most two letters may differ, and in short keys at most half of the letters.
func closestName(key string, known []string) string {
	closest, minDistance := "", maxEditDistance+1
	for _, candidate := range known {
		distance := levenshtein.ComputeDistance(strings.ToLower(key), strings.ToLower(candidate))
		if distance < minDistance && distance <= len(candidate)/shortKeyDivisor {
			closest, minDistance = candidate, distance
		}
	}
	return closest
}

// similarKeys finds keys of the platform's file that a broker ignores, but that are similar to a known key that is
// absent: probably misspelled keys.
func similarKeys(file *check.File, object *jsonschema.Schema, node *jsontext.Node, path []string) []check.Finding {
	absent := make([]string, 0, len(object.Properties))
	for key := range object.Properties {
		if node.Get(key) == nil {
			absent = append(absent, key)
		}
	}
	var findings []check.Finding
	for _, member := range node.Members {
		keyPath := extend(path, member.Key)
		if property := object.Properties[member.Key]; property != nil {
			findings = append(findings, similarKeys(file, property, member.Value, keyPath)...)
		} else if similar := closestName(member.Key, absent); similar != "" {
			violated := SimilarKey
			violated.Remedy = similar
			findings = append(findings, file.NewFinding(violated, "not read", keyPath...))
		}
	}
	if object.Items != nil {
		for i, item := range node.Items {
			findings = append(
				findings, similarKeys(file, object.Items, item, extend(path, strconv.Itoa(i)))...,
			)
		}
	}
	return findings
}

// extend returns a copy of a path with keys appended.
func extend(path []string, keys ...string) []string { return slices.Concat(path, keys) }

// invalidAddresses finds strings at the paths of addresses that are not an IP address with a port.
func invalidAddresses(file *check.File) []check.Finding {
	var findings []check.Finding
	for _, path := range addressPaths(file) {
		value := file.Root.At(path...)
		if value == nil || value.Kind != jsontext.String {
			continue
		}
		if _, err := netip.ParseAddrPort(value.Text); err != nil {
			findings = append(
				findings, file.NewFinding(InvalidAddress, fmt.Sprintf("%q", value.Text), path...),
			)
		}
	}
	return findings
}

// addressPaths returns the paths of a file whose values must be addresses.
func addressPaths(file *check.File) [][]string {
	if file.Kind == check.PlatformFile {
		return [][]string{{"listen"}, {"changelog"}}
	}
	var paths [][]string
	for _, list := range []string{"graphite", "collectd"} {
		for i := range file.Root.At("telemetry", list).Elements() {
			paths = append(paths, []string{"telemetry", list, strconv.Itoa(i), "address"})
		}
	}
	return paths
}
