package rawclient

import (
	"context"
	"fmt"
	"time"

	"wheatlane/internal/emulator/pacing"
)

// killCloseAfter is the time from KILL QUERY to the close, by the protocol.
const killCloseAfter = 500 * time.Millisecond

// DisconnectMethod is a way in which a client leaves before its answer.
type DisconnectMethod int

// The departures.
const (
	ByKill DisconnectMethod = iota // KILL QUERY on another connection
	ByReset
	ByClose
)

// DisconnectMethodCount is the number of departures.
const DisconnectMethodCount = 3

// String returns the name of a departure.
func (d DisconnectMethod) String() string {
	switch d {
	case ByKill:
		return "kill"
	case ByReset:
		return "reset"
	case ByClose:
		return "close"
	}
	return fmt.Sprintf("DisconnectMethod(%d)", int(d))
}

// Disconnect ends a client's wait for its answer. left is called once with the departure that took place: where
// no connection for KILL QUERY can be had, the client closes its own.
func (s *Session) Disconnect(ctx context.Context, address string, by DisconnectMethod, left func(DisconnectMethod)) {
	switch by {
	case ByKill:
		killer, err := Connect(ctx, address, fmt.Sprintf("KILL QUERY %d", s.ConnectionID), func(time.Time) {})
		if err != nil { // the broker is shutting down
			s.Close()
			left(ByClose)
			return
		}
		defer killer.Close()
		left(ByKill)
		pacing.Pause(ctx, killCloseAfter)
	case ByReset:
		s.Reset()
		left(ByReset)
	case ByClose:
		s.Close()
		left(ByClose)
	}
}
