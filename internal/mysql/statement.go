package mysql

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Statement is a COM_QUERY with the parsed fields of its comment.
type Statement struct {
	Class             string
	RequestID         string        // 16 hex digits
	Timeout           time.Duration // how long the client waits for the response after it sent the request
	Tenant            string        // empty: none
	IdempotencyKey    string        // empty: none
	OrderKey          string        // 16 hex digits; empty: none
	EstimatedWork     time.Duration // 0: not estimated
	EstimatedMemoryMB float64       // 0: not estimated
	IsRetry           bool          // the client marked the request as a retry
	DataSet           int           // number of the data set that the statement reads or writes; 0: none
	Text              string        // the statement without the comment
}

// FieldError reports a missing or invalid field. Its text is sent to the client.
type FieldError struct {
	Field, Problem string
	Cause          error // why the value is invalid, not sent to the client; nil if Problem is complete
}

func (e *FieldError) Error() string { return "field " + e.Field + ": " + e.Problem }

// Unwrap returns the cause, which may be nil.
func (e *FieldError) Unwrap() error { return e.Cause }

// Names of the fields on the wire.
const (
	fieldClass           = "service"
	fieldRequestID       = "ref"
	fieldTimeout         = "allow"
	fieldTenant          = "project"
	fieldIsRetry         = "dup"
	fieldIdempotencyKey  = "replay"
	fieldOrderKey        = "lookup"
	fieldEstimatedWork   = "effort"
	fieldEstimatedMemory = "ram"

	isRetryValue = "1"
)

const (
	maxTimeout        = 24 * time.Hour // a longer timeout can only be a mistake of the client
	maxIdempotencyKey = 64             // bytes
	hexKeyDigits      = 16             // number of hex digits in a request id or an order key
	maxEstimate       = 1e9            // limit of estimated work in milliseconds and of memory in MB
	maxQuotedBytes    = 40             // maximum length of client input quoted in an error
)

// Causes of invalid field values.
var (
	errOutOfRange       = errors.New("out of range")
	errInvalidCharacter = errors.New("invalid character in a key")
	errWrongLength      = errors.New("wrong length")
	errNotHex           = errors.New("not hex digits")
)

// whitespace holds the bytes that may precede a comment and separate it from the statement.
const whitespace = " \t\r\n"

// ParseStatement parses the comment that holds the fields of a request, and the statement that follows it. Unknown
// fields are ignored. The error is a *FieldError.
func ParseStatement(text string) (Statement, error) {
	var statement Statement
	rest, opened := strings.CutPrefix(strings.TrimLeft(text, whitespace), "/*")
	fields, body, closed := strings.Cut(rest, "*/")
	if !opened || !closed {
		return statement, &FieldError{Field: fieldClass, Problem: "no comment with fields stands ahead of the statement"}
	}
	statement.Text = strings.TrimLeft(body, whitespace)
	for start := 0; start <= len(fields); {
		name, value, hasValue, end := fieldAt(fields, start)
		if !hasValue {
			return statement, &FieldError{Field: strconv.Quote(clip(name)), Problem: "has no value"}
		}
		if err := statement.setField(name, value); err != nil {
			return statement, &FieldError{Field: name, Problem: fmt.Sprintf("%q can't be used", clip(value)), Cause: err}
		}
		start = end + 1
	}
	if err := statement.checkComplete(); err != nil {
		return statement, err
	}
	statement.DataSet = dataSet(statement.Text)
	return statement, nil
}

// fieldAt returns the field that starts at an index of a list, as in name=value,name=value: its name and value without
// surrounding space, and the index of its end. A field without a value is all name. Each byte is read once, as a client
// may send thousands of short fields.
func fieldAt(fields string, start int) (name, value string, hasValue bool, end int) {
	equals := -1
	for end = start; end < len(fields) && fields[end] != ','; end++ {
		if fields[end] == '=' && equals < 0 {
			equals = end
		}
	}
	field := fields[start:end]
	if equals < 0 {
		return strings.TrimSpace(field), "", false, end
	}
	if mayBeSpace(field[0]) || mayBeSpace(field[len(field)-1]) {
		name, value, _ = strings.Cut(strings.TrimSpace(field), "=")
		return name, value, true, end
	}
	return fields[start:equals], fields[equals+1 : end], true, end
}

// mayBeSpace reports whether a byte is a space or a part of a character that may be one.
func mayBeSpace(c byte) bool { return c <= ' ' || c >= 0x80 }

// Detach copies the values of the fields, which are parts of the client's text, and the statement if the comment ahead
// of it is longer. Those who keep one of them would otherwise keep the whole text in memory.
func (s *Statement) Detach(text string) {
	if comment := len(text) - len(s.Text); comment > len(s.Text) {
		s.Text = strings.Clone(s.Text)
	}
	values := [...]*string{&s.Class, &s.RequestID, &s.Tenant, &s.IdempotencyKey, &s.OrderKey}
	var all strings.Builder
	for _, value := range values {
		all.WriteString(*value)
	}
	rest := all.String()
	for _, value := range values {
		*value, rest = rest[:len(*value)], rest[len(*value):]
	}
}

// setField parses the value of one field and stores it.
func (s *Statement) setField(name, value string) (err error) {
	switch name {
	case fieldClass:
		s.Class = value
	case fieldRequestID:
		s.RequestID, err = parseHexKey(value)
	case fieldTimeout:
		s.Timeout, err = parseTimeout(value)
	case fieldTenant:
		s.Tenant = value
	case fieldIsRetry:
		s.IsRetry = value == isRetryValue
	case fieldIdempotencyKey:
		s.IdempotencyKey, err = parseIdempotencyKey(value)
	case fieldOrderKey:
		s.OrderKey, err = parseHexKey(value)
	case fieldEstimatedWork:
		s.EstimatedWork, err = parseWork(value)
	case fieldEstimatedMemory:
		s.EstimatedMemoryMB, err = parseEstimate(value)
	}
	return err
}

// checkComplete returns a *FieldError for the first missing field.
func (s *Statement) checkComplete() error {
	switch {
	case s.Class == "":
		return &FieldError{Field: fieldClass, Problem: "is missing"}
	case s.RequestID == "":
		return &FieldError{Field: fieldRequestID, Problem: "is missing"}
	case s.Timeout == 0:
		return &FieldError{Field: fieldTimeout, Problem: "is missing"}
	case s.Text == "":
		return &FieldError{Field: fieldClass, Problem: "no statement follows the fields"}
	}
	return nil
}

// clip truncates client input to maxQuotedBytes.
func clip(text string) string { return text[:min(len(text), maxQuotedBytes)] }

// parseTimeout parses an integer number of milliseconds.
func parseTimeout(text string) (time.Duration, error) {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err == nil && (ms <= 0 || ms > maxTimeout.Milliseconds()) {
		err = errOutOfRange
	}
	return time.Duration(ms) * time.Millisecond, err
}

// parseWork parses a number of milliseconds, which may have a fraction.
func parseWork(text string) (time.Duration, error) {
	ms, err := parseEstimate(text)
	return time.Duration(ms * float64(time.Millisecond)), err
}

func parseEstimate(text string) (float64, error) {
	estimate, err := strconv.ParseFloat(text, 64)
	if err == nil && (math.IsNaN(estimate) || estimate < 0 || estimate > maxEstimate) {
		err = errOutOfRange
	}
	return estimate, err
}

// parseIdempotencyKey accepts only characters that need no quoting in a field of a request to an engine.
func parseIdempotencyKey(text string) (string, error) {
	for _, c := range []byte(text) {
		if !isWordByte(c) && c != '-' || c >= 0x80 {
			return "", errInvalidCharacter
		}
	}
	if text == "" || len(text) > maxIdempotencyKey {
		return "", errWrongLength
	}
	return text, nil
}

func parseHexKey(text string) (string, error) {
	if len(text) != hexKeyDigits {
		return "", errWrongLength
	}
	if strings.Trim(text, "0123456789abcdefABCDEF") != "" {
		return "", errNotHex
	}
	return text, nil
}
