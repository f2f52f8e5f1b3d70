// Package membership keeps the state of engines, by the endpoint list and by the operators, and watches the
// endpoint list.
package membership

// State is the state of an engine.
type State int

// The states of an engine.
const (
	Ready    State = iota
	Draining       // finishes what it has and takes nothing new
	Removed
)

// Member is one engine. The zero value is not in the endpoint list.
type Member struct {
	listed        bool
	state         State // in the endpoint list
	inMaintenance bool
}

// Update takes the engine's state in the endpoint list.
func (m *Member) Update(state State) { m.listed, m.state = state != Removed, state }

// Unlist records that the endpoint list no longer has the engine.
func (m *Member) Unlist() { m.listed = false }

// SetMaintenance puts the engine into maintenance mode, or takes it out.
func (m *Member) SetMaintenance(enabled bool) { m.inMaintenance = enabled }

// Listed reports whether the engine is in the endpoint list.
func (m *Member) Listed() bool { return m.listed }

// State is the state that applies: an engine in maintenance mode is treated as draining.
func (m *Member) State() State {
	if m.inMaintenance && m.state == Ready {
		return Draining
	}
	return m.state
}

// AcceptsRequests reports whether the engine takes new requests.
func (m *Member) AcceptsRequests() bool { return m.listed && m.State() == Ready }
