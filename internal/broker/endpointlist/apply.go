package endpointlist

import (
	"time"

	"wheatlane/control"
	"wheatlane/internal/changelog"
)

// ConnectionChange is what a change of the list means for the connections to an engine.
type ConnectionChange struct {
	Engine string
	Kind   ConnectionChangeKind
	// DialedBefore, with CloseConnections, is the time from which connections stay open; 0: all are closed.
	DialedBefore time.Duration
}

// ConnectionChangeKind is the kind of a ConnectionChange.
type ConnectionChangeKind int

// The kinds of change.
const (
	CloseConnections     ConnectionChangeKind = iota // the engine was removed, restarted or has moved
	CancelUnsentAttempts                             // it drains: attempts that have not left for it must not leave
)

// Apply applies a page of the change log that was read at now, with the wall clock ahead of the reducer's time by
// wallOffset. Changes that were applied before are skipped, so that a page may come twice. It returns an update for the
// decision module for each change, and the changes of connections in their order.
func (l *List) Apply(
	now time.Duration, page changelog.Page, wallOffset time.Duration,
) (updates []control.EndpointUpdate, connections []ConnectionChange) {
	applier := applier{list: l, now: now, wallOffset: wallOffset}
	for _, change := range page.Changes {
		if change.Revision > l.revision {
			updates = append(updates, applier.applyChange(change))
		}
	}
	l.revision = max(l.revision, page.Revision)
	l.countInService()
	return updates, applier.connections
}

// applier applies one page.
type applier struct {
	list        *List
	now         time.Duration
	wallOffset  time.Duration
	connections []ConnectionChange
}

func (a *applier) applyChange(change changelog.Change) control.EndpointUpdate {
	update := control.EndpointUpdate{Kind: control.EndpointDelta}
	if change.Snapshot {
		update.Kind = control.EndpointSnapshot
		a.removeUnlisted(change.Endpoints)
	}
	for _, endpoint := range change.Endpoints {
		for _, id := range a.removeReplaced(endpoint) {
			update.Engines = append(update.Engines, control.Engine{ID: id, State: control.Removed})
		}
		a.applyEndpoint(endpoint, newProcessStart(a.now, endpoint.StartedAt, a.wallOffset))
		engine := endpoint.Engine
		engine.StartedAt = a.list.latestStart(endpoint.ID)
		update.Engines = append(update.Engines, engine)
	}
	return update
}

// removeUnlisted removes the engines that a snapshot does not list.
func (a *applier) removeUnlisted(snapshot []changelog.Endpoint) {
	listed := map[string]bool{}
	for _, endpoint := range snapshot {
		listed[endpoint.ID] = true
	}
	for _, id := range a.list.ids() {
		if !listed[id] {
			a.remove(id)
		}
	}
}

// removeReplaced removes the engines whose address an endpoint has taken over, and returns their ids: attempts for
// them must not reach the new engine, and its responses must not be taken for theirs.
func (a *applier) removeReplaced(endpoint changelog.Endpoint) (replaced []string) {
	if endpoint.State == control.Removed {
		return nil
	}
	for _, id := range a.list.ids() {
		if id != endpoint.ID && a.list.byID[id].Addr == endpoint.Addr {
			a.remove(id)
			replaced = append(replaced, id)
		}
	}
	return replaced
}

func (a *applier) remove(id string) {
	a.closeConnections(id, 0)
	delete(a.list.byID, id)
	delete(a.list.processStarts, id)
}

// applyEndpoint applies the listed state of one engine, whose process started at a time.
func (a *applier) applyEndpoint(endpoint changelog.Endpoint, started processStart) {
	id := endpoint.ID
	if endpoint.State == control.Removed {
		a.remove(id)
		return
	}
	old, listed := a.list.byID[id]
	moved := listed && endpoint.Addr != old.Addr
	previous := a.list.processStarts[id]
	restarted := listed && started.reported > previous.reported
	switch {
	case moved:
		a.closeConnections(id, 0)
	case restarted:
		// The change log reports a restart seconds late. Attempts that were sent to the new process meanwhile would
		// fail if their connections were closed, and those of a non-idempotent class could not be retried.
		a.closeConnections(id, started.earliest)
	}
	if endpoint.State == control.Draining && !moved {
		a.connections = append(a.connections, ConnectionChange{Engine: id, Kind: CancelUnsentAttempts})
	}
	switch {
	case restarted:
		a.list.processStarts[id] = started.clampAfter(previous)
	case !listed || started.reported != previous.reported:
		a.list.processStarts[id] = started
	}
	a.list.byID[id] = endpoint
	a.list.recordListed(id)
}

func (a *applier) closeConnections(id string, dialedBefore time.Duration) {
	a.connections = append(a.connections, ConnectionChange{
		Engine: id, Kind: CloseConnections, DialedBefore: dialedBefore,
	})
}
