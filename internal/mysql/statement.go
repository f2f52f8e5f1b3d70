package mysql

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Statement is a COM_QUERY with its fields read.
type Statement struct {
	Class             string  // class
	RequestID         string  // id of the request
	TimeoutMS         int64   // how long the client waits, from when it sent
	Tenant            string  // tenant
	IdempotencyKey    string  // idempotency key
	OrderKey          string  // order key
	EstimatedWorkMS   float64 // estimated work
	EstimatedMemoryMB float64 // estimated memory
	IsRetry           bool    // marked as a client's retry
	DataSet           int     // number of the group of tables
	Text              string  // the statement without the comment of fields
}

// FieldError names a field that can't be used.
type FieldError struct{ Field, Problem string }

func (e *FieldError) Error() string { return "field " + e.Field + ": " + e.Problem }

const (
	mostAllow = 24 * 60 * 60 * 1000 // the longest wait, a day, that a field may ask for: more can't be meant
	mostToken = 64                  // the longest idempotency key
)

// ParseStatement reads the comment of fields ahead of a statement, and the statement.
func ParseStatement(text string) (Statement, error) {
	var s Statement
	rest, ok := strings.CutPrefix(strings.TrimLeft(text, " \t\r\n"), "/*")
	list, body, closed := strings.Cut(rest, "*/")
	if !ok || !closed {
		return s, &FieldError{"service", "no comment with fields stands ahead of the statement"}
	}
	s.Text = strings.TrimLeft(body, " \t\r\n")
	for pair := range strings.SplitSeq(list, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok {
			return s, &FieldError{strconv.Quote(clip(name)), "has no value"}
		}
		var err error
		switch name {
		case "service":
			s.Class = value
		case "ref":
			s.RequestID, err = hexDigits(value, 16)
		case "allow":
			if s.TimeoutMS, err = strconv.ParseInt(value, 10, 64); err == nil && (s.TimeoutMS <= 0 || s.TimeoutMS > mostAllow) {
				err = fmt.Errorf("is out of range")
			}
		case "project":
			s.Tenant = value
		case "dup":
			s.IsRetry = value == "1"
		case "replay":
			s.IdempotencyKey, err = token(value)
		case "lookup":
			s.OrderKey, err = hexDigits(value, 16)
		case "effort":
			s.EstimatedWorkMS, err = amount(value)
		case "ram":
			s.EstimatedMemoryMB, err = amount(value)
		}
		if err != nil {
			return s, &FieldError{name, fmt.Sprintf("%q can't be used", clip(value))}
		}
	}
	for _, f := range []struct {
		name    string
		missing bool
	}{{"service", s.Class == ""}, {"ref", s.RequestID == ""}, {"allow", s.TimeoutMS == 0}} {
		if f.missing {
			return s, &FieldError{f.name, "is missing"}
		}
	}
	if s.Text == "" {
		return s, &FieldError{"service", "no statement follows the fields"}
	}
	s.DataSet = group(s.Text)
	return s, nil
}

func clip(s string) string { return s[:min(len(s), 40)] }

func amount(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err == nil && (math.IsNaN(v) || v < 0 || v > 1e9) {
		err = fmt.Errorf("is out of range")
	}
	return v, err
}

// token takes what can stand in a field of an engine's request without changing its meaning.
func token(s string) (string, error) {
	for _, c := range []byte(s) {
		if !word(c) && c != '-' || c >= 0x80 {
			return "", fmt.Errorf("has a character that has no place in it")
		}
	}
	if s == "" || len(s) > mostToken {
		return "", fmt.Errorf("is not 1 to %d characters long", mostToken)
	}
	return s, nil
}

func hexDigits(s string, n int) (string, error) {
	if len(s) != n || strings.Trim(s, "0123456789abcdefABCDEF") != "" {
		return "", fmt.Errorf("is not %d hex digits", n)
	}
	return s, nil
}

// group finds the number in the name of the schema that a statement reads or writes. Table references, which
// stand behind certain words, go before other qualified names, which may be of a column.
func group(text string) int {
	other := 0
	l := lexer{text: text}
	table := false
	for tok := l.next(); tok != ""; {
		name := tok
		after := l.next()
		if after != "." {
			switch strings.ToUpper(name) {
			case "FROM", "JOIN", "INTO", "UPDATE", "TABLE":
				table = true
			case ",", "IGNORE", "LOW_PRIORITY", "(":
			case "SELECT", "WHERE", "SET", "ON", "VALUES", "GROUP", "ORDER", "HAVING", "LIMIT":
				table = false
			}
			tok = after
			continue
		}
		n, ok := schemaNumber(name)
		if ok && table {
			return n
		}
		if ok && other == 0 {
			other = n
		}
		for after == "." { // the rest of the qualified name
			l.next()
			after = l.next()
		}
		tok = after
	}
	return other
}

func schemaNumber(name string) (int, bool) {
	name = strings.Trim(name, "`")
	i := strings.LastIndexByte(name, '_')
	if i < 0 || strings.EqualFold(name, "staging") {
		return 0, false
	}
	n, err := strconv.ParseUint(name[i+1:], 10, 31)
	return int(n), err == nil
}

// lexer splits a statement into words, marks and quoted names, without strings and comments.
type lexer struct {
	text string
	i    int
}

// next returns the next token, "" at the end.
func (l *lexer) next() string {
	for l.i < len(l.text) {
		start, rest := l.i, l.text[l.i:]
		switch c := rest[0]; {
		case c == ' ' || c == '\t' || c == '\r' || c == '\n':
			l.i++
		case c == '\'' || c == '"':
			l.quoted(c, true)
		case c == '`':
			l.quoted(c, false)
			return l.text[start:l.i]
		case strings.HasPrefix(rest, "/*"):
			l.skipPast(2, "*/")
		case c == '#' || strings.HasPrefix(rest, "-- "):
			l.skipPast(1, "\n")
		case word(c):
			for l.i < len(l.text) && word(l.text[l.i]) {
				l.i++
			}
			return l.text[start:l.i]
		default:
			l.i++
			return rest[:1]
		}
	}
	return ""
}

func word(c byte) bool {
	return c == '_' || c == '$' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

// quoted passes over what stands between quotes. A doubled quote shows as two strings, which does no harm.
func (l *lexer) quoted(quote byte, escapes bool) {
	for l.i++; l.i < len(l.text); l.i++ {
		switch c := l.text[l.i]; {
		case c == '\\' && escapes:
			l.i++
		case c == quote:
			l.i++
			return
		}
	}
	l.i = len(l.text)
}

func (l *lexer) skipPast(from int, mark string) {
	if at := strings.Index(l.text[l.i+from:], mark); at >= 0 {
		l.i += from + at + len(mark)
	} else {
		l.i = len(l.text)
	}
}
