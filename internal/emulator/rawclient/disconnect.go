package rawclient

import (
	"context"
	"fmt"
	"time"

	"wheatlane/internal/emulator/pacing"
)

// killCloseDelay is the time from KILL QUERY to the close of the killed connection, as the protocol specifies it.
const killCloseDelay = 500 * time.Millisecond

// DisconnectMethod specifies how a client disconnects while its request is open.
type DisconnectMethod int

// The ways to disconnect.
const (
	ByKill  DisconnectMethod = iota // KILL QUERY on another connection
	ByReset                         // TCP reset
	ByClose                         // orderly close
)

// DisconnectMethodCount is the number of disconnect methods.
const DisconnectMethodCount = 3

// String returns the name of the method, as soak events record it.
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

// Disconnect cancels the client's open request. It calls disconnected once, with the method that was used: if no
// connection for KILL QUERY can be opened, the client closes its own.
func (s *Session) Disconnect(
	ctx context.Context, address string, by DisconnectMethod, disconnected func(DisconnectMethod),
) {
	switch by {
	case ByKill:
		killer, err := Connect(ctx, address, fmt.Sprintf("KILL QUERY %d", s.ConnectionID), func(time.Time) {})
		if err != nil { // the broker is shutting down
			s.Close()
			disconnected(ByClose)
			return
		}
		defer killer.Close()
		disconnected(ByKill)
		pacing.Pause(ctx, killCloseDelay)
	case ByReset:
		s.Reset()
		disconnected(ByReset)
	case ByClose:
		s.Close()
		disconnected(ByClose)
	}
}
