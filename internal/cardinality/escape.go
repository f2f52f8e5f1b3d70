package cardinality

import (
	"errors"
	"strings"
)

const (
	// OtherName is the exported name of the series for all names that are not admitted.
	OtherName = "other"
	// maxEscapedBytes limits an escaped name so that it fits, with its prefix, into the 127 bytes of a part of a
	// collectd identifier. collectd truncates longer parts, which could make two names equal.
	maxEscapedBytes = 110
	hexDigits       = "0123456789abcdef"
	emptyEscaped    = "_"
)

// ErrInvalidEscape is returned for a text that Escape does not produce.
var ErrInvalidEscape = errors.New("cardinality: not an escaped name")

// isSafe reports whether a byte has no special meaning to Graphite, collectd or a shell.
func isSafe(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-'
}

// Admissible reports whether a name can have series of its own.
func Admissible(name string) bool {
	if len(name) > maxNameBytes {
		return false
	}
	escaped := 0
	for i := range len(name) {
		switch c := name[i]; {
		case isSafe(c):
			escaped++
		case c == '_':
			escaped += 2
		default:
			escaped += 3
		}
	}
	return escaped <= maxEscapedBytes
}

// Escape encodes a name for use in a path or a tag. The encoding is one-to-one: letters, digits and dashes are
// unchanged, an underscore is doubled, and any other byte becomes an underscore and two hex digits. The empty name
// becomes one underscore. The name "other" is escaped so that it differs from OtherName.
func Escape(name string) string {
	if name == "" {
		return emptyEscaped
	}
	var b strings.Builder
	for i := range len(name) {
		reserved := i == 0 && name == OtherName
		switch c := name[i]; {
		case isSafe(c) && !reserved:
			b.WriteByte(c)
		case c == '_':
			b.WriteString("__")
		default:
			b.Write([]byte{'_', hexDigits[c>>4], hexDigits[c&15]})
		}
	}
	return b.String()
}

// Unescape decodes a name encoded by Escape. It fails with ErrInvalidEscape for any other text.
func Unescape(escaped string) (string, error) {
	if escaped == emptyEscaped {
		return "", nil
	}
	var b strings.Builder
	for rest := escaped; rest != ""; {
		c, size, ok := unescapeByte(rest)
		if !ok {
			return "", ErrInvalidEscape
		}
		b.WriteByte(c)
		rest = rest[size:]
	}
	if name := b.String(); Escape(name) == escaped {
		return name, nil
	}
	return "", ErrInvalidEscape
}

// unescapeByte decodes the first byte of a text that is not empty, and returns the number of encoded bytes.
func unescapeByte(text string) (c byte, size int, ok bool) {
	switch {
	case isSafe(text[0]):
		return text[0], 1, true
	case text[0] != '_' || len(text) < 2:
		return 0, 0, false
	case text[1] == '_':
		return '_', 2, true
	case len(text) < 3:
		return 0, 0, false
	}
	high, low := strings.IndexByte(hexDigits, text[1]), strings.IndexByte(hexDigits, text[2])
	return byte(high<<4 | low), 3, high >= 0 && low >= 0
}
