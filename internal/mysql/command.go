package mysql

import (
	"strconv"
	"strings"
)

// Command is the first byte of a packet from a client that has logged in.
type Command byte

// Supported commands.
const (
	ComQuit            Command = 1
	ComInitDB          Command = 2
	ComQuery           Command = 3
	ComPing            Command = 14
	ComResetConnection Command = 31
)

// Keywords of a KILL statement.
const (
	killKeyword    = "KILL"
	killConnection = "CONNECTION"
	killQuery      = "QUERY"
)

// Kill is a KILL statement.
type Kill struct {
	ConnectionID    uint32
	CloseConnection bool // if false, only the connection's query is cancelled
}

// ParseKill parses KILL QUERY n or KILL [CONNECTION] n. ok is false for any other statement.
func ParseKill(text string) (kill Kill, ok bool) {
	text = strings.TrimSpace(text)
	if len(text) < len(killKeyword) || !strings.EqualFold(text[:len(killKeyword)], killKeyword) {
		return Kill{}, false // without splitting a large statement into words
	}
	words := strings.Fields(strings.TrimSuffix(text, ";"))
	if len(words) < 2 || len(words) > 3 || !strings.EqualFold(words[0], killKeyword) {
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
