package wire

import (
	"encoding/hex"
	"fmt"
	"time"

	"wheatlane/control"
	"wheatlane/internal/config"
	"wheatlane/internal/gossip"
	"wheatlane/internal/loadfields"
)

// engineStates are the states of engines by their names on the wire.
var engineStates = map[string]control.EngineState{
	"on":     control.Ready,
	"fading": control.Draining,
	"off":    control.Removed,
}

// attemptStatuses are the statuses of attempts and load probes by their names on the wire.
var attemptStatuses = map[string]control.Status{
	"completed":    control.OK,
	"errored":      control.Failed,
	"saturated":    control.AtCapacity,
	"overdue":      control.TimedOut,
	"refused_conn": control.ConnectFailed,
	"severed":      control.ConnectionReset,
	"recalled":     control.Cancelled,
	"superseded":   control.NeverSent,
}

// The kinds of an endpoint update on the wire.
const (
	updateFailed = "failed"
	updateDelta  = "delta"
	updateFull   = "full"
	updateCached = "cached" // the complete list as it stood some time ago
)

const (
	noTenant = "0" // in place of the tenant of a request that belongs to none
	yes      = "1" // value of a field that is true
)

// The cost of an attempt is one whole number: its work in milliseconds times costPerMillisecond, plus its memory in
// units of costMemoryUnitMB.
const (
	costPerMillisecond = 4096
	costMemoryUnitMB   = 4
)

// decode reads what happened to an instance. The item is empty for what is ignored.
func (r *Reader) decode(msg *message, instance int) (Input, error) {
	switch msg.name {
	case messageCreate:
		create, layout, err := decodeCreate(msg)
		r.layouts[instance] = layout
		return Input{Create: create}, err
	case messageCrash:
		return Input{Crash: true}, nil
	default:
		event, err := r.decodeEvent(msg, r.layouts[instance])
		return Input{Event: event}, err
	}
}

// decodeCreate reads the creation of an instance, and the layout of the load reports of its engines.
func decodeCreate(msg *message) (*Create, loadfields.Layout, error) {
	settings, err := config.DecodeSettings([]byte(msg.text(fieldSettings)))
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", messageCreate, err)
	}
	return &Create{Seed: msg.unsigned(fieldSeed), Settings: settings.Control}, settings.LoadReport, nil
}

// decodeEvent reads an event; it is nil for what is ignored.
func (r *Reader) decodeEvent(msg *message, layout loadfields.Layout) (control.Event, error) {
	switch msg.name {
	case messageEndpointUpdate:
		return r.decodeEndpointUpdate(msg)
	case messageRequestReceived:
		return decodeRequestReceived(msg), nil
	case messageClientDisconnected:
		return control.ClientDisconnected{RequestID: msg.requiredText(fieldRequestID)}, nil
	case messageResponseStarted:
		return control.ResponseStarted{RequestID: msg.requiredText(fieldRequestID)}, nil
	case messageAttemptProgress:
		return decodeAttemptProgress(msg), nil
	case messageGossipReceived:
		return decodeGossipReceived(msg)
	case messageProbeResult:
		return decodeProbeResult(msg, layout), nil
	case messageAttemptEnded:
		return decodeAttemptEnded(msg, layout), nil
	case messageTimerFired:
		return control.TimerFired{Token: msg.unsigned(fieldTimerToken)}, nil
	}
	return nil, fmt.Errorf("unknown message %.60q", msg.name)
}

func decodeEndpoint(msg *message) (control.Engine, error) {
	state, ok := engineStates[msg.text(fieldEngineState)]
	if !ok {
		return control.Engine{}, fmt.Errorf("unknown %s %q", fieldEngineState, msg.text(fieldEngineState))
	}
	return control.Engine{
		ID:        msg.requiredText(fieldEngine),
		Zone:      msg.text(fieldZone),
		Kind:      msg.text(fieldEngineKind),
		Cell:      int(msg.integer(fieldCell)),
		State:     state,
		StartedAt: msg.duration(fieldStartedAt),
	}, msg.err
}

func (r *Reader) decodeEndpointUpdate(msg *message) (control.Event, error) {
	kind := msg.text(fieldUpdateKind)
	if kind == updateFailed {
		return control.EndpointUpdate{Kind: control.EndpointWatchFailed}, nil
	}
	number := msg.integer(fieldListNumber)
	engines, ok := r.lists[number]
	if !ok {
		return nil, fmt.Errorf("%s: no %s %d came before", messageEndpointUpdate, messageEndpointList, number)
	}
	switch kind {
	case updateDelta:
		return control.EndpointUpdate{Kind: control.EndpointDelta, Engines: engines}, nil
	case updateFull, updateCached:
		return control.EndpointUpdate{Kind: control.EndpointSnapshot, Engines: engines}, nil
	}
	return nil, fmt.Errorf("%s: unknown %s %q", messageEndpointUpdate, fieldUpdateKind, kind)
}

func decodeRequestReceived(msg *message) control.Event {
	tenant := msg.text(fieldTenant)
	if tenant == noTenant {
		tenant = ""
	}
	return control.RequestReceived{Request: control.Request{
		ID:                msg.requiredText(fieldRequestID),
		Class:             msg.requiredText(fieldClass),
		Tenant:            tenant,
		OrderKey:          msg.text(fieldOrderKey),
		DataSet:           int(msg.number(fieldDataSet)),
		Deadline:          msg.requiredDuration(fieldDeadline),
		EstimatedWork:     msg.duration(fieldEstimatedWork),
		EstimatedMemoryMB: msg.number(fieldEstimatedMemory),
	}}
}

func decodeAttemptProgress(msg *message) control.Event {
	return control.AttemptProgress{
		RequestID: msg.requiredText(fieldRequestID),
		Number:    int(msg.integer(fieldAttempt)),
		Engine:    msg.text(fieldEngine),
		Kind:      control.ProgressKind(msg.requiredInteger(fieldProgressKind)),
		Value:     msg.number(fieldProgressValue),
	}
}

// decodeGossipReceived reads a gossip datagram; it is nil for one that is not of this program.
func decodeGossipReceived(msg *message) (control.Event, error) {
	datagram, err := hex.DecodeString(msg.text(fieldDatagram))
	if err != nil {
		return nil, fmt.Errorf("%s: %s: %w", messageGossipReceived, fieldDatagram, err)
	}
	reports, ok := parseGossip(datagram)
	if !ok {
		return nil, nil
	}
	return control.GossipReceived{Broker: int(msg.integer(fieldFromBroker)), Reports: reports}, nil
}

// parseGossip reads the reports of a datagram; ok is false for one of another program.
func parseGossip(datagram []byte) (reports []control.GossipedLoad, ok bool) {
	reports, err := gossip.Parse(datagram)
	return reports, err == nil
}

func decodeProbeResult(msg *message, layout loadfields.Layout) control.Event {
	return control.ProbeResult{
		Engine:   msg.requiredText(fieldEngine),
		Status:   decodeStatus(msg),
		Duration: msg.duration(fieldDuration),
		Report:   layout.Report(msg.numbers(fieldReport)),
	}
}

func decodeAttemptEnded(msg *message, layout loadfields.Layout) control.Event {
	ended := control.AttemptEnded{
		RequestID:     msg.requiredText(fieldRequestID),
		Number:        int(msg.integer(fieldAttempt)),
		Engine:        msg.text(fieldEngine),
		Status:        decodeStatus(msg),
		Duration:      msg.duration(fieldDuration),
		RequestClosed: msg.text(fieldRequestClosed) == yes,
		Report:        layout.Report(msg.numbers(fieldReport)),
	}
	if cost := msg.integer(fieldCost); cost > 0 {
		ended.Work = time.Duration(cost/costPerMillisecond) * time.Millisecond
		ended.MemoryMB = float64(cost%costPerMillisecond) * costMemoryUnitMB
	}
	return ended
}

func decodeStatus(msg *message) control.Status {
	status, ok := attemptStatuses[msg.text(fieldStatus)]
	if !ok {
		msg.fail("unknown %s %q", fieldStatus, msg.text(fieldStatus))
	}
	return status
}
