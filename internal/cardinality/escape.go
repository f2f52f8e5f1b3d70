package cardinality

import (
	"errors"
	"strings"
)

const (
	// OtherName stands for all names that are not admitted.
	OtherName = "other"
	// maxEscapedBytes keeps an escaped name, and what stands ahead of it, within the 127 bytes of a part of a collectd
	// identifier: a longer one would be cut there, and two might become one.
	maxEscapedBytes = 110
	hexDigits       = "0123456789abcdef"
)

// ErrEscape is returned for a text that Escape never makes.
var ErrEscape = errors.New("names: not an escaped name")

// isSafe tells whether a byte means nothing to Graphite, collectd or a shell.
func isSafe(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-'
}

// Admissible tells whether a name can have a series of its own.
func Admissible(name string) bool {
	if len(name) > maxNameBytes {
		return false
	}
	n := 0
	for i := range len(name) {
		switch c := name[i]; {
		case isSafe(c):
			n++
		case c == '_':
			n += 2
		default:
			n += 3
		}
	}
	return n <= maxEscapedBytes
}

// Escape makes a name fit for a part of a path or a tag, one to one: letters, digits and dashes stay, an underscore
// becomes two, and any other byte an underscore with two hex digits. The empty name is one underscore, and the
// name "other" is told apart from OtherName.
func Escape(name string) string {
	if name == "" {
		return "_"
	}
	var b strings.Builder
	for i := range len(name) {
		switch c := name[i]; {
		case isSafe(c) && !(i == 0 && name == OtherName):
			b.WriteByte(c)
		case c == '_':
			b.WriteString("__")
		default:
			b.Write([]byte{'_', hexDigits[c>>4], hexDigits[c&15]})
		}
	}
	return b.String()
}

// Unescape is the reverse of Escape.
func Unescape(text string) (string, error) {
	if text == "_" {
		return "", nil
	}
	var b strings.Builder
	for i := 0; i < len(text); i++ {
		c := text[i]
		switch {
		case isSafe(c):
			b.WriteByte(c)
			continue
		case c != '_' || i+1 >= len(text):
			return "", ErrEscape
		case text[i+1] == '_':
			b.WriteByte('_')
			i++
			continue
		case i+2 >= len(text):
			return "", ErrEscape
		}
		high, low := strings.IndexByte(hexDigits, text[i+1]), strings.IndexByte(hexDigits, text[i+2])
		if high < 0 || low < 0 {
			return "", ErrEscape
		}
		b.WriteByte(byte(high<<4 | low))
		i += 2
	}
	if name := b.String(); Escape(name) == text {
		return name, nil
	}
	return "", ErrEscape // guards against two spellings of one name
}
