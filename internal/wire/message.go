package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// message is one line: a name and fields. Its methods read the fields; the first fault that they find stays
// in err.
type message struct {
	line   string
	name   string
	fields [][2]string // names and values
	err    error
}

// usualFields is about how many fields a message has.
const usualFields = 12

// parseMessage splits a line into its name and its fields.
func parseMessage(line string) (*message, error) {
	name, rest, _ := strings.Cut(line, " ")
	m := &message{line: line, name: name, fields: make([][2]string, 0, usualFields)}
	for rest != "" {
		key, after, ok := strings.Cut(rest, "=")
		if !ok || strings.Contains(key, " ") {
			return nil, fmt.Errorf("%s: not a name=value pair: %.60q", name, rest)
		}
		value := after
		rest = ""
		if !textFields[key] {
			value, rest, _ = strings.Cut(after, " ")
		}
		m.fields = append(m.fields, [2]string{key, value})
	}
	return m, nil
}

// fail keeps a fault unless there is one already.
func (m *message) fail(format string, args ...any) {
	if m.err == nil {
		m.err = fmt.Errorf(format, args...)
	}
}

// text is the value of a field; empty without it.
func (m *message) text(key string) string {
	for _, f := range m.fields {
		if f[0] == key {
			return f[1]
		}
	}
	return ""
}

// requiredText is the value of a field that must be there.
func (m *message) requiredText(key string) string {
	text := m.text(key)
	if text == "" {
		m.fail("%s is missing", key)
	}
	return text
}

// integer is the value of a field; 0 without it.
func (m *message) integer(key string) int64 { return m.parseInteger(key, m.text(key)) }

// requiredInteger is the value of a field that must be there.
func (m *message) requiredInteger(key string) int64 { return m.parseInteger(key, m.requiredText(key)) }

func (m *message) parseInteger(key, text string) int64 {
	if text == "" {
		return 0
	}
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		m.fail("%s is not a whole number: %.40q", key, text)
	}
	return v
}

// unsigned is the value of a field; 0 without it.
func (m *message) unsigned(key string) uint64 {
	text := m.text(key)
	if text == "" {
		return 0
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		m.fail("%s is not a whole number: %.40q", key, text)
	}
	return v
}

// duration is the value of a field in nanoseconds; 0 without it.
func (m *message) duration(key string) time.Duration { return time.Duration(m.integer(key)) }

// requiredDuration is the value in nanoseconds of a field that must be there.
func (m *message) requiredDuration(key string) time.Duration {
	return time.Duration(m.requiredInteger(key))
}

// number is the value of a field; 0 without it.
func (m *message) number(key string) float64 {
	text := m.text(key)
	if text == "" {
		return 0
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		m.fail("%s is not a number: %.40q", key, text)
	}
	return v
}

// noNumbers stands where a message has no row of numbers.
const noNumbers = "-"

// numbers is the numbers of a field between commas; nil without any.
func (m *message) numbers(key string) []float64 {
	text := m.text(key)
	if text == "" || text == noNumbers {
		return nil
	}
	numbers := make([]float64, 0, strings.Count(text, ",")+1)
	for part := range strings.SplitSeq(text, ",") {
		v, err := strconv.ParseFloat(part, 64)
		if err != nil {
			m.fail("%s is not a row of numbers: %.40q", key, text)
			return nil
		}
		numbers = append(numbers, v)
	}
	return numbers
}
