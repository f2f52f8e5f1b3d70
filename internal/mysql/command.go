package mysql

import (
	"strconv"
	"strings"
)

// Command is the first byte of a packet from a client that is logged in.
type Command byte

// The commands that are understood.
const (
	ComQuit            Command = 1
	ComInitDB          Command = 2
	ComQuery           Command = 3
	ComPing            Command = 14
	ComResetConnection Command = 31
)

// The words of a KILL statement.
const (
	killWord       = "KILL"
	killConnection = "CONNECTION"
	killQuery      = "QUERY"
)

// Kill is a KILL statement.
type Kill struct {
	ConnectionID    uint32
	CloseConnection bool // else only the query that it runs is to end
}

// ParseKill reads KILL QUERY n or KILL [CONNECTION] n. It returns false for any other statement.
func ParseKill(text string) (kill Kill, ok bool) {
	words := strings.Fields(strings.TrimSuffix(strings.TrimSpace(text), ";"))
	if len(words) < 2 || len(words) > 3 || !strings.EqualFold(words[0], killWord) {
		return Kill{}, false
	}
	closeConnection := len(words) == 2 || strings.EqualFold(words[1], killConnection)
	if !closeConnection && !strings.EqualFold(words[1], killQuery) {
		return Kill{}, false
	}
	id, err := strconv.ParseUint(words[len(words)-1], 10, 32)
	if err != nil {
		return Kill{}, false
	}
	return Kill{uint32(id), closeConnection}, true
}
