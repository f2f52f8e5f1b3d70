package server

import (
	"fmt"
	"testing"

	"wheatlane/internal/config"
	"wheatlane/internal/server/netconn"
)

// The sockets of clients, engines, the admin endpoint and the broker itself add up to no more than the limit.
func TestSocketBudgetStaysWithinLimit(t *testing.T) {
	for _, sockets := range []int{64, 512, 1024, 4096} {
		for _, admin := range []string{"", "127.0.0.1:0"} {
			t.Run(fmt.Sprintf("%d, admin endpoint %q", sockets, admin), func(t *testing.T) {
				cfg := config.Config{AdminListen: admin, MaxDescriptors: sockets}
				budget := newSocketBudget(cfg)
				sum := budget.Engines + budget.Clients + budget.Rejected + budget.Admin + reservedSockets
				if sum > sockets || budget.Sessions < 1 || budget.Sessions >= budget.Clients {
					t.Errorf("budget of %d sockets allows %d: %+v", sockets, sum, budget)
				}
				if callers := MaxAdminConnections(cfg); (callers > 0) != (admin != "") {
					t.Errorf("MaxAdminConnections returned %d with admin endpoint %q", callers, admin)
				}
			})
		}
	}
}

// A client beyond the socket limit is rejected immediately, even if the loop has not processed the earlier connections
// yet.
func TestClientsBeyondSocketLimitAreRejected(t *testing.T) {
	const maxClients = 28 // 64 less 16 for engines, 16 reserved and 4 for rejected clients
	s := startServerWith(t, serverOptions{sockets: 64})
	loop := PauseLoop(t, s.server)
	for range maxClients {
		s.dial()
	}
	rejected := s.dial()
	rejected.expect("1040", "closed")
	s.expectEnd(rejected.localAddr(), netconn.TooManyConnections)
	loop.Resume()
}
