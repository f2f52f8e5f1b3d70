package mysql

import (
	"strconv"
	"strings"
)

// stagingSchema is the schema of staging tables, which belong to no data set.
const stagingSchema = "staging"

// dataSet returns the number in the name of the schema that a statement reads or writes, or 0 if there is none. A table
// reference, which follows certain keywords, takes precedence over other qualified names, as these may name columns.
func dataSet(text string) int {
	fallback := 0 // number in the first qualified name that is not a table reference
	l := lexer{text: text}
	expectTable := false // a table reference may follow
	for token := l.next(); token != ""; {
		name := token
		after := l.next()
		if after != "." {
			expectTable = tableMayFollow(name, expectTable)
			token = after
			continue
		}
		n, ok := schemaNumber(name)
		if ok && expectTable {
			return n
		}
		if ok && fallback == 0 {
			fallback = n
		}
		for after == "." { // the rest of the qualified name
			l.next()
			after = l.next()
		}
		token = after
	}
	return fallback
}

// tableMayFollow reports whether a table reference may follow a token; previous is the result for the token before it.
func tableMayFollow(token string, previous bool) bool {
	switch strings.ToUpper(token) {
	case "FROM", "JOIN", "INTO", "UPDATE", "TABLE":
		return true
	case "SELECT", "WHERE", "SET", "ON", "VALUES", "GROUP", "ORDER", "HAVING", "LIMIT":
		return false
	}
	return previous
}

// schemaNumber returns the number after the last underscore of a schema's name.
func schemaNumber(name string) (int, bool) {
	name = strings.Trim(name, "`")
	i := strings.LastIndexByte(name, '_')
	if i < 0 || strings.EqualFold(name, stagingSchema) {
		return 0, false
	}
	n, err := strconv.ParseUint(name[i+1:], 10, 31)
	return int(n), err == nil
}
