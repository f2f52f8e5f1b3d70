// Package membership tracks the state of engines according to the endpoint list and to operators, and watches
// the endpoint list.
package membership

// State is the state of an engine.
type State int

// The states of an engine.
const (
	Ready    State = iota
	Draining       // completes its attempts and accepts no new ones
	Removed
)

// Member is the membership of one engine. The zero value is that of an engine missing from the endpoint list.
type Member struct {
	listed        bool
	state         State // according to the endpoint list
	inMaintenance bool
}

// Update sets the engine's state according to the endpoint list.
func (m *Member) Update(state State) { m.listed, m.state = state != Removed, state }

// Unlist records that the engine is no longer in the endpoint list.
func (m *Member) Unlist() { m.listed = false }

// SetMaintenance enables or disables maintenance mode for the engine.
func (m *Member) SetMaintenance(enabled bool) { m.inMaintenance = enabled }

// Listed reports whether the engine is in the endpoint list.
func (m *Member) Listed() bool { return m.listed }

// State returns the effective state: a ready engine in maintenance mode is draining.
func (m *Member) State() State {
	if m.inMaintenance && m.state == Ready {
		return Draining
	}
	return m.state
}

// AcceptsRequests reports whether the engine accepts new requests.
func (m *Member) AcceptsRequests() bool { return m.listed && m.State() == Ready }
