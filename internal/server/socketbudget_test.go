package server

import (
	"fmt"
	"testing"

	"wheatlane/internal/config"
	"wheatlane/internal/server/netconn"
)

// What clients, engines, callers of the admin endpoint and the broker itself may hold adds up to the limit of
// descriptors at most.
func TestDescriptorsAddUpToTheLimit(t *testing.T) {
	for _, sockets := range []int{64, 512, 1024, 4096} {
		for _, admin := range []string{"", "127.0.0.1:0"} {
			t.Run(fmt.Sprintf("%d, admin endpoint %q", sockets, admin), func(t *testing.T) {
				cfg := config.Config{AdminListen: admin, Sockets: sockets}
				budget := newSocketBudget(cfg)
				sum := budget.Engines + budget.Clients + budget.Rejected + budget.Admin + reservedSockets
				if sum > sockets || budget.Sessions < 1 || budget.Sessions >= budget.Clients {
					t.Errorf("%d descriptors for %d: %+v", sum, sockets, budget)
				}
				if callers := MaxAdminConnections(cfg); (callers > 0) != (admin != "") {
					t.Errorf("%d callers of the admin endpoint", callers)
				}
			})
		}
	}
}

// A client for which there is no socket left is rejected at once, though nothing that connected before it has been
// looked at.
func TestSocketsBeyondTheLimitAreRejected(t *testing.T) {
	const maxClients = 28 // 64 less 16 for engines, 16 of its own and 4 of rejected clients
	s := startServerWith(t, serverOptions{sockets: 64})
	held := PauseLoop(t, s.server)
	for range maxClients {
		s.dial()
	}
	rejected := s.dial()
	rejected.expect("1040", "closed")
	s.expectEnd(rejected.localAddr(), netconn.TooManyConnections)
	held.Resume()
}
