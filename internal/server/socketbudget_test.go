package server

import (
	"fmt"
	"testing"

	"wheatlane/internal/config"
)

// What clients, engines, callers of the admin endpoint and the broker itself may hold adds up to the limit of
// descriptors at most.
func TestDescriptorsAddUpToTheLimit(t *testing.T) {
	for _, sockets := range []int{64, 512, 1024, 4096} {
		for _, admin := range []string{"", "127.0.0.1:0"} {
			t.Run(fmt.Sprintf("%d, admin endpoint %q", sockets, admin), func(t *testing.T) {
				cfg := config.Config{AdminListen: admin, Sockets: sockets}
				budget := newSocketBudget(cfg)
				sum := budget.Engines + budget.Clients + budget.Rejected + budget.Admin + ownSockets
				if sum > sockets || budget.Sessions < 1 || budget.Sessions >= budget.Clients {
					t.Errorf("%d descriptors for %d: %+v", sum, sockets, budget)
				}
				if callers := AdminSockets(cfg); (callers > 0) != (admin != "") {
					t.Errorf("%d callers of the admin endpoint", callers)
				}
			})
		}
	}
}
