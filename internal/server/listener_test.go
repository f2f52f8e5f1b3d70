package server

import (
	"fmt"
	"testing"

	"go.uber.org/zap"

	"wheatlane/internal/config"
)

// What clients, engines, callers of the admin endpoint and the broker itself may hold adds up to the limit of
// descriptors at most.
func TestDescriptorsAddUpToTheLimit(t *testing.T) {
	for _, sockets := range []int{64, 512, 1024, 4096} {
		for _, admin := range []string{"", "127.0.0.1:0"} {
			t.Run(fmt.Sprintf("%d, admin endpoint %q", sockets, admin), func(t *testing.T) {
				cfg := config.Config{
					Listen: "127.0.0.1:0", AdminListen: admin, Sockets: sockets, Settings: testSettings(t, testIdleTimeout),
				}
				s, err := New(t.Context(), cfg, zap.NewNop())
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = s.Close() }) // nothing is served
				parts := cap(s.clientSlots) + cap(s.rejectSlots) + AdminSockets(cfg) + maxEngineConns(sockets) + ownSockets
				if parts > sockets || cap(s.clientSlots) < 1 {
					t.Errorf("%d descriptors for %d, %d of them for clients", parts, sockets, cap(s.clientSlots))
				}
				if callers := AdminSockets(cfg); (callers > 0) != (admin != "") {
					t.Errorf("%d callers of the admin endpoint", callers)
				}
			})
		}
	}
}
