package rawclient

import "testing"

// The names of departures are those in the events of a soak.
func TestDepartureNames(t *testing.T) {
	t.Parallel()
	want := [DisconnectMethodCount]string{ByKill: "kill", ByReset: "reset", ByClose: "close"}
	for departure, name := range want {
		if got := DisconnectMethod(departure).String(); got != name {
			t.Errorf("departure %d is named %q, want %q", departure, got, name)
		}
	}
}
