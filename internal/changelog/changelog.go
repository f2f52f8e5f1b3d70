// Package changelog encodes long polls to the change log and parses its responses: HTTP/1.1 with a page in JSON. The
// endpoint list in a broker's configuration has the same JSON form. The package works on bytes and does no I/O.
package changelog

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"wheatlane/control"
	"wheatlane/internal/jsontext"
)

// Endpoint is an engine as the change log lists it.
type Endpoint struct {
	control.Engine
	Addr string // address and port that the engine listens on
}

// Change is one event in the change log.
type Change struct {
	Revision  int64
	Snapshot  bool // Endpoints is the complete list; otherwise only the changed endpoints
	Endpoints []Endpoint
}

// Page holds consecutive changes of the change log, up to a revision.
type Page struct {
	Revision int64
	Changes  []Change
}

// Engine states on the wire.
const (
	healthInService   = "in_service"
	healthTerminating = "terminating"
	HealthTerminated  = "terminated"
)

// engineStates maps states on the wire to those of the decision module.
var engineStates = map[string]control.EngineState{
	healthInService:   control.Ready,
	healthTerminating: control.Draining,
	HealthTerminated:  control.Removed,
}

// pageDocument is the JSON form of a Page.
type pageDocument struct {
	Revision int64            `json:"seq"`
	Changes  []changeDocument `json:"results"`
}

type changeDocument struct {
	Revision int64         `json:"seq"`
	List     *listDocument `json:"fleet"` // nil if the event is of another kind
}

type listDocument struct {
	Snapshot  bool               `json:"whole"`
	Endpoints []endpointDocument `json:"hosts"`
}

type endpointDocument struct {
	ID        string  `json:"host"`
	Addr      string  `json:"dial"`
	Zone      string  `json:"site"`
	Kind      string  `json:"class"`
	Health    string  `json:"health"`
	Cell      int     `json:"block"`
	StartedMS float64 `json:"born_ms"` // since the change log's epoch
}

// errMissing reports a key that must be present.
var errMissing = errors.New("required key is missing")

// ParsePage parses a page. Events of unknown kinds are ignored. A page with a revision must have a list of events, and
// a change a list of engines: without them, events would be lost, or all engines removed. The error for an invalid or
// missing value is a *jsontext.KeyError.
func ParsePage(text []byte) (Page, error) {
	var document pageDocument
	if err := json.Unmarshal(text, &document); err != nil {
		if mismatch, ok := jsontext.AsTypeMismatch(err); ok {
			return Page{}, mismatch
		}
		return Page{}, fmt.Errorf("decode change log page: %w", err)
	}
	if document.Changes == nil && document.Revision != 0 {
		return Page{}, &jsontext.KeyError{Key: "results", Err: errMissing}
	}
	page := Page{Revision: document.Revision}
	for i, listed := range document.Changes {
		if listed.List == nil {
			continue
		}
		if listed.List.Endpoints == nil {
			return Page{}, &jsontext.KeyError{Key: fmt.Sprintf("results[%d].fleet.hosts", i), Err: errMissing}
		}
		change := Change{Revision: listed.Revision, Snapshot: listed.List.Snapshot}
		for j, member := range listed.List.Endpoints {
			endpoint, err := member.endpoint()
			if err != nil {
				return Page{}, err.Within(fmt.Sprintf("results[%d].fleet.hosts[%d]", i, j))
			}
			change.Endpoints = append(change.Endpoints, endpoint)
		}
		page.Changes = append(page.Changes, change)
	}
	return page, nil
}

// endpoint validates a list member and converts it to an Endpoint.
func (m endpointDocument) endpoint() (Endpoint, *jsontext.KeyError) {
	state, ok := engineStates[m.Health]
	if !ok {
		return Endpoint{}, &jsontext.KeyError{Key: "health", Err: fmt.Errorf("unknown state %q", m.Health)}
	}
	if m.ID == "" {
		return Endpoint{}, &jsontext.KeyError{Key: "host", Err: errMissing}
	}
	if _, err := netip.ParseAddrPort(m.Addr); err != nil && state != control.Removed {
		return Endpoint{}, &jsontext.KeyError{Key: "dial", Err: err}
	}
	return Endpoint{Addr: m.Addr, Engine: control.Engine{
		ID: m.ID, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, State: state,
		StartedAt: time.Duration(m.StartedMS) * time.Millisecond,
	}}, nil
}
