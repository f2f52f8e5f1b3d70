package mysql

import (
	"strconv"
	"strings"
)

// stagingSchema is a schema that belongs to no data set.
const stagingSchema = "staging"

// dataSet returns the number in the name of the schema that a statement reads or writes; 0 without one. A table
// reference, which follows certain words, takes precedence over other qualified names, which may be those of columns.
func dataSet(text string) int {
	other := 0
	l := lexer{text: text}
	table := false // a table reference may follow
	for token := l.next(); token != ""; {
		name := token
		after := l.next()
		if after != "." {
			table = tableMayFollow(name, table)
			token = after
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
		token = after
	}
	return other
}

// tableMayFollow reports whether a table reference may follow a token; before is what held ahead of it.
func tableMayFollow(token string, before bool) bool {
	switch strings.ToUpper(token) {
	case "FROM", "JOIN", "INTO", "UPDATE", "TABLE":
		return true
	case "SELECT", "WHERE", "SET", "ON", "VALUES", "GROUP", "ORDER", "HAVING", "LIMIT":
		return false
	}
	return before
}

// schemaNumber returns the number at the end of a schema's name, behind an underscore.
func schemaNumber(name string) (int, bool) {
	name = strings.Trim(name, "`")
	i := strings.LastIndexByte(name, '_')
	if i < 0 || strings.EqualFold(name, stagingSchema) {
		return 0, false
	}
	n, err := strconv.ParseUint(name[i+1:], 10, 31)
	return int(n), err == nil
}
