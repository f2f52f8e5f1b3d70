package endpointlist

import (
	"slices"
	"time"

	"wheatlane/control"
	"wheatlane/internal/changelog"
)

// ConnectionChange describes how the connections to an engine must change after a change of the list.
type ConnectionChange struct {
	Engine string
	Kind   ConnectionChangeKind
	// DialedBefore limits CloseConnections to connections dialed before this time; 0: all are closed.
	DialedBefore time.Duration
}

// ConnectionChangeKind is the kind of a ConnectionChange.
type ConnectionChangeKind int

// The kinds of connection changes.
const (
	CloseConnections     ConnectionChangeKind = iota // the engine was removed, was restarted or has a new address
	CancelUnsentAttempts                             // the engine drains: unsent attempts must not be sent to it
)

// Apply applies a page of the change log that was read at now, with the wall clock ahead of the reducer's time by
// wallOffset. It skips changes that were applied before, so a page may be delivered twice. It returns an update for the
// decision module for each change applied, and the connection changes in order.
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

// removeUnlisted removes the engines that are not in a snapshot.
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

// removeReplaced removes the engines whose address now belongs to the given endpoint, and returns their ids: attempts
// for them must not reach the new engine, and its responses must not be attributed to them.
func (a *applier) removeReplaced(endpoint changelog.Endpoint) (replaced []string) {
	if endpoint.State == control.Removed {
		return nil
	}
	for _, id := range slices.Clone(a.list.idsByAddr[endpoint.Addr]) {
		if id != endpoint.ID {
			a.remove(id)
			replaced = append(replaced, id)
		}
	}
	return replaced
}

func (a *applier) remove(id string) {
	a.closeConnections(id, 0)
	a.list.delete(id)
	delete(a.list.processStarts, id)
}

// applyEndpoint applies the listed state and process start time of one engine.
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
		// The change log reports a restart seconds late. Connections dialed to the new process meanwhile stay open:
		// closing them would fail their attempts, and those of a non-idempotent class could not be retried.
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
	a.list.store(endpoint)
	a.list.recordListed(id)
}

func (a *applier) closeConnections(id string, dialedBefore time.Duration) {
	a.connections = append(a.connections, ConnectionChange{
		Engine: id, Kind: CloseConnections, DialedBefore: dialedBefore,
	})
}
