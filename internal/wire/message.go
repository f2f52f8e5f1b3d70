package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// message is one line of the protocol: a name followed by fields. Its methods parse the fields and store the first
// error in err.
type message struct {
	line   string
	name   string
	fields []field
	err    error
}

type field struct{ name, value string }

// typicalFieldCount is the initial capacity of a message's list of fields.
const typicalFieldCount = 12

// parseMessage splits a line into the message name and the fields.
func parseMessage(line string) (*message, error) {
	name, rest, _ := strings.Cut(line, " ")
	msg := &message{line: line, name: name, fields: make([]field, 0, typicalFieldCount)}
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
		msg.fields = append(msg.fields, field{key, value})
	}
	return msg, nil
}

// fail stores an error unless one is already stored.
func (m *message) fail(format string, args ...any) {
	if m.err == nil {
		m.err = fmt.Errorf(format, args...)
	}
}

// text returns the value of a field, or "" if the message lacks it.
func (m *message) text(key string) string {
	for _, field := range m.fields {
		if field.name == key {
			return field.value
		}
	}
	return ""
}

// requiredText returns the value of a mandatory field.
func (m *message) requiredText(key string) string {
	text := m.text(key)
	if text == "" {
		m.fail("%s is missing", key)
	}
	return text
}

// integer returns the value of a field, or 0 if the message lacks it.
func (m *message) integer(key string) int64 { return m.parseInteger(key, m.text(key)) }

// requiredInteger returns the value of a mandatory field.
func (m *message) requiredInteger(key string) int64 { return m.parseInteger(key, m.requiredText(key)) }

func (m *message) parseInteger(key, text string) int64 {
	if text == "" {
		return 0
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		m.fail("%s is not a whole number: %.40q", key, text)
	}
	return value
}

// unsigned returns the value of a field, or 0 if the message lacks it.
func (m *message) unsigned(key string) uint64 {
	text := m.text(key)
	if text == "" {
		return 0
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		m.fail("%s is not a whole number: %.40q", key, text)
	}
	return value
}

// duration returns the value of a field in nanoseconds, or 0 if the message lacks it.
func (m *message) duration(key string) time.Duration { return time.Duration(m.integer(key)) }

// requiredDuration returns the value of a mandatory field in nanoseconds.
func (m *message) requiredDuration(key string) time.Duration {
	return time.Duration(m.requiredInteger(key))
}

// number returns the value of a field, or 0 if the message lacks it.
func (m *message) number(key string) float64 {
	text := m.text(key)
	if text == "" {
		return 0
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		m.fail("%s is not a number: %.40q", key, text)
	}
	return value
}

// emptyNumberList is the value of a field that holds no numbers.
const emptyNumberList = "-"

// numbers returns the comma-separated numbers of a field, or nil if it has none.
func (m *message) numbers(key string) []float64 {
	text := m.text(key)
	if text == "" || text == emptyNumberList {
		return nil
	}
	numbers := make([]float64, 0, strings.Count(text, ",")+1)
	for part := range strings.SplitSeq(text, ",") {
		number, err := strconv.ParseFloat(part, 64)
		if err != nil {
			m.fail("%s is not a list of numbers: %.40q", key, text)
			return nil
		}
		numbers = append(numbers, number)
	}
	return numbers
}
