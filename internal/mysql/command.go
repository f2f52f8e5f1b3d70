package mysql

import (
	"strconv"
	"strings"
)

// Command is the first byte of a packet from a client that is logged in.
type Command byte

// The commands that are understood.
const (
	Quit   Command = 1
	InitDB Command = 2
	Query  Command = 3
	Ping   Command = 14
	Reset  Command = 31
)

// The words of a KILL statement.
const (
	killWord       = "KILL"
	killConnection = "CONNECTION"
	killQuery      = "QUERY"
)

// ParseKill reads KILL QUERY n or KILL [CONNECTION] n; connection is true where the connection is to end, not
// just its query, and ok is false for any other statement.
func ParseKill(text string) (id uint32, connection, ok bool) {
	words := strings.Fields(strings.TrimSuffix(strings.TrimSpace(text), ";"))
	if len(words) < 2 || len(words) > 3 || !strings.EqualFold(words[0], killWord) {
		return 0, false, false
	}
	connection = len(words) == 2 || strings.EqualFold(words[1], killConnection)
	if !connection && !strings.EqualFold(words[1], killQuery) {
		return 0, false, false
	}
	n, err := strconv.ParseUint(words[len(words)-1], 10, 32)
	return uint32(n), connection, err == nil
}
