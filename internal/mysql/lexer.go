package mysql

import "strings"

// lexer splits a statement into words, punctuation and quoted names. It skips strings and comments.
type lexer struct {
	text string
	pos  int // index in text of the next byte to read
}

// next returns the next token, or "" at the end.
func (l *lexer) next() string {
	for l.pos < len(l.text) {
		start, rest := l.pos, l.text[l.pos:]
		switch c := rest[0]; {
		case strings.IndexByte(whitespace, c) >= 0:
			l.pos++
		case c == '\'' || c == '"':
			l.skipString(c)
		case c == '`':
			l.skipQuotedName()
			return l.text[start:l.pos]
		case strings.HasPrefix(rest, "/*"):
			l.skipPast(2, "*/")
		case c == '#' || strings.HasPrefix(rest, "-- "):
			l.skipPast(1, "\n")
		case isWordByte(c):
			l.skipWord()
			return l.text[start:l.pos]
		default:
			l.pos++
			return rest[:1]
		}
	}
	return ""
}

func isWordByte(c byte) bool {
	letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
	return letter || c >= '0' && c <= '9' || c == '_' || c == '$'
}

func (l *lexer) skipWord() {
	for l.pos < len(l.text) && isWordByte(l.text[l.pos]) {
		l.pos++
	}
}

// skipString skips a string with its quotes. A doubled quote within a string splits it into two strings, both of which
// are skipped.
func (l *lexer) skipString(quote byte) {
	for l.pos++; l.pos < len(l.text); l.pos++ {
		switch l.text[l.pos] {
		case '\\':
			l.pos++ // an escaped byte cannot end the string
		case quote:
			l.pos++
			return
		}
	}
	l.pos = len(l.text)
}

// skipQuotedName skips a name with its backquotes. A backslash has no special meaning in it.
func (l *lexer) skipQuotedName() { l.skipPast(1, "`") }

// skipPast skips at least skip bytes, then up to and including the next delimiter, or to the end if there is none.
func (l *lexer) skipPast(skip int, delimiter string) {
	if i := strings.Index(l.text[l.pos+skip:], delimiter); i >= 0 {
		l.pos += skip + i + len(delimiter)
	} else {
		l.pos = len(l.text)
	}
}
