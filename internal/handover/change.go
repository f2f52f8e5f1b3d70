package handover

import "slices"

// Change records that an engine enters or leaves maintenance mode.
type Change struct {
	Engine  string
	Enabled bool // the engine enters maintenance mode; otherwise it leaves it
}

// Apply returns the state after the changes are applied in order. The engines are sorted.
func (s State) Apply(changes []Change) State {
	engines := slices.Clone(s.MaintenanceEngines)
	for _, change := range changes {
		engines = slices.DeleteFunc(engines, func(id string) bool { return id == change.Engine })
		if change.Enabled {
			engines = append(engines, change.Engine)
		}
	}
	slices.Sort(engines)
	return State{Broker: s.Broker, MaintenanceEngines: engines}
}

// Diff returns the changes that turn this state into next.
func (s State) Diff(next State) []Change {
	var changes []Change
	for _, id := range s.MaintenanceEngines {
		if !slices.Contains(next.MaintenanceEngines, id) {
			changes = append(changes, Change{Engine: id})
		}
	}
	for _, id := range next.MaintenanceEngines {
		if !slices.Contains(s.MaintenanceEngines, id) {
			changes = append(changes, Change{Engine: id, Enabled: true})
		}
	}
	return changes
}
