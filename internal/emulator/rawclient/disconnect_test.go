package rawclient

import "testing"

// Soak events record disconnect methods by name, so the names must not change.
func TestDisconnectMethodNames(t *testing.T) {
	t.Parallel()
	want := [DisconnectMethodCount]string{ByKill: "kill", ByReset: "reset", ByClose: "close"}
	for method, name := range want {
		if got := DisconnectMethod(method).String(); got != name {
			t.Errorf("disconnect method %d is named %q, want %q", method, got, name)
		}
	}
}
