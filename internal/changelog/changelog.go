// Package changelog encodes long polls to the change log and parses its responses: HTTP/1.1 with a page in JSON. The
// endpoint list in a broker's configuration has the same JSON form. The package works on bytes and does no I/O.
package changelog

import (
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

// endpointDocument is the JSON form of an Endpoint.
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
