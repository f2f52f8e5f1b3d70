package server

import (
	"testing"

	"wheatlane/internal/server/netconn"
)

// A client for which there is no socket left is rejected at once, though nothing that connected before it has been
// looked at.
func TestSocketsBeyondTheLimitAreRejected(t *testing.T) {
	const maxClients = 28 // 64 less 16 for engines, 16 of its own and 4 of rejected clients
	s := startServerWith(t, serverOptions{sockets: 64})
	held := HoldLoop(t, s.server)
	for range maxClients {
		s.dial()
	}
	rejected := s.dial()
	rejected.expect("1040", "closed")
	s.expectEnd(rejected.localAddr(), netconn.TooManyConnections)
	held.Release()
}
