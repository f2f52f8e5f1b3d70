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

// engineStates maps names on the wire to engine states.
var engineStates = map[string]control.EngineState{
	"on":     control.Ready,
	"fading": control.Draining,
	"off":    control.Removed,
}

// attemptStatuses maps names on the wire to statuses of attempts and load probes.
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

// Kinds of endpoint updates on the wire.
const (
	updateFailed = "failed"
	updateDelta  = "delta"
	updateFull   = "full"
	updateCached = "cached" // an earlier version of the complete list
)

const (
	noTenant  = "0" // tenant field of a request without a tenant
	trueValue = "1" // value of a boolean field that is true
)

// The cost of an attempt is encoded as one integer: the work in milliseconds times costPerMillisecond, plus the memory
// in units of costMemoryUnitMB.
const (
	costPerMillisecond = 4096
	costMemoryUnitMB   = 4
)

// decode decodes one input of an instance. The input is empty if the message is ignored.
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

// decodeCreate decodes the creation of an instance and the layout of its engines' load reports.
func decodeCreate(msg *message) (*Create, loadfields.Layout, error) {
	settings, err := config.DecodeSettings([]byte(msg.text(fieldSettings)))
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", messageCreate, err)
	}
	return &Create{Seed: msg.unsigned(fieldSeed), Settings: settings.Control}, settings.LoadReport, nil
}

// decodeEvent decodes an event. The event is nil if the message is ignored.
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

// decodeGossipReceived decodes a gossip datagram. The event is nil if the datagram is not valid gossip.
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

// parseGossip decodes the reports of a datagram. ok is false if the datagram is not valid gossip.
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
		RequestClosed: msg.text(fieldRequestClosed) == trueValue,
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
