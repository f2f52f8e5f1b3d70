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

var engineStates = map[string]control.EngineState{
	"on":     control.Ready,
	"fading": control.Draining,
	"off":    control.Removed,
}

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

// The kinds of an endpoint update.
const (
	updateFailed = "failed"
	updateDelta  = "delta"
	updateFull   = "full"
	updateCached = "cached" // the complete list as it stood some time ago
)

const (
	noTenant = "0" // of a request that belongs to none
	yes      = "1"
)

// The cost of an attempt is one number: its work in milliseconds times costWorkFactor, plus its memory in
// units.
const (
	costWorkFactor   = 4096
	costMemoryUnitMB = 4
)

// decode reads what happened to an instance. The item is empty for what is passed over.
func (r *Reader) decode(m *message, instance int) (Item, error) {
	switch m.name {
	case messageCreate:
		create, layout, err := decodeCreate(m)
		r.layouts[instance] = layout
		return Item{Create: create}, err
	case messageCrash:
		return Item{Crash: true}, nil
	default:
		event, err := r.decodeEvent(m, r.layouts[instance])
		return Item{Event: event}, err
	}
}

// decodeCreate also returns the layout of the load reports of the new instance's engines.
func decodeCreate(m *message) (*Create, loadfields.Layout, error) {
	settings, err := config.DecodeSettings([]byte(m.text(fieldSettings)))
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", messageCreate, err)
	}
	return &Create{Seed: m.unsigned(fieldSeed), Settings: settings.Control}, settings.LoadReport, nil
}

// decodeEvent reads an event; it is nil for what is passed over.
func (r *Reader) decodeEvent(m *message, layout loadfields.Layout) (control.Event, error) {
	switch m.name {
	case messageEndpointUpdate:
		return r.decodeEndpointUpdate(m)
	case messageRequestReceived:
		return decodeRequestReceived(m), nil
	case messageClientDisconnected:
		return control.ClientDisconnected{RequestID: m.requiredText(fieldRequestID)}, nil
	case messageResponseStarted:
		return control.ResponseStarted{RequestID: m.requiredText(fieldRequestID)}, nil
	case messageAttemptProgress:
		return decodeAttemptProgress(m), nil
	case messageGossipReceived:
		return decodeGossipReceived(m)
	case messageProbeResult:
		return decodeProbeResult(m, layout), nil
	case messageAttemptEnded:
		return decodeAttemptEnded(m, layout), nil
	case messageTimerFired:
		return control.TimerFired{Token: m.unsigned(fieldTimerToken)}, nil
	}
	return nil, fmt.Errorf("unknown message %.60q", m.name)
}

func decodeEndpoint(m *message) (control.Engine, error) {
	state, ok := engineStates[m.text(fieldEngineState)]
	if !ok {
		return control.Engine{}, fmt.Errorf("unknown %s %q", fieldEngineState, m.text(fieldEngineState))
	}
	return control.Engine{
		ID:        m.requiredText(fieldEngine),
		Zone:      m.text(fieldZone),
		Kind:      m.text(fieldEngineKind),
		Cell:      int(m.integer(fieldCell)),
		State:     state,
		StartedAt: m.duration(fieldStartedAt),
	}, m.err
}

func (r *Reader) decodeEndpointUpdate(m *message) (control.Event, error) {
	kind := m.text(fieldUpdateKind)
	if kind == updateFailed {
		return control.EndpointUpdate{Kind: control.EndpointPollFailed}, nil
	}
	number := m.integer(fieldListNumber)
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

func decodeRequestReceived(m *message) control.Event {
	tenant := m.text(fieldTenant)
	if tenant == noTenant {
		tenant = ""
	}
	return control.RequestReceived{Request: control.Request{
		ID:                m.requiredText(fieldRequestID),
		Class:             m.requiredText(fieldClass),
		Tenant:            tenant,
		OrderKey:          m.text(fieldOrderKey),
		DataSet:           int(m.number(fieldDataSet)),
		Deadline:          m.requiredDuration(fieldDeadline),
		EstimatedWork:     m.duration(fieldEstimatedWork),
		EstimatedMemoryMB: m.number(fieldEstimatedMemory),
	}}
}

func decodeAttemptProgress(m *message) control.Event {
	return control.AttemptProgress{
		RequestID: m.requiredText(fieldRequestID),
		Number:    int(m.integer(fieldAttempt)),
		Engine:    m.text(fieldEngine),
		Kind:      control.ProgressKind(m.requiredInteger(fieldProgressKind)),
		Value:     m.number(fieldProgressValue),
	}
}

// decodeGossipReceived returns no event for a datagram that no broker of this program sent.
func decodeGossipReceived(m *message) (control.Event, error) {
	datagram, err := hex.DecodeString(m.text(fieldDatagram))
	if err != nil {
		return nil, fmt.Errorf("%s: %s: %w", messageGossipReceived, fieldDatagram, err)
	}
	reports, ok := loadReports(datagram)
	if !ok {
		return nil, nil
	}
	return control.GossipReceived{Broker: int(m.integer(fieldFromBroker)), Reports: reports}, nil
}

// loadReports are the reports of a datagram; ok is false for what is none of a broker of this program.
func loadReports(datagram []byte) (reports []control.GossipedLoad, ok bool) {
	reports, err := gossip.Parse(datagram)
	return reports, err == nil
}

func decodeProbeResult(m *message, layout loadfields.Layout) control.Event {
	return control.ProbeResult{
		Engine:   m.requiredText(fieldEngine),
		Status:   decodeStatus(m),
		Duration: m.duration(fieldDuration),
		Report:   layout.Report(m.numbers(fieldReport)),
	}
}

func decodeAttemptEnded(m *message, layout loadfields.Layout) control.Event {
	ended := control.AttemptEnded{
		RequestID:     m.requiredText(fieldRequestID),
		Number:        int(m.integer(fieldAttempt)),
		Engine:        m.text(fieldEngine),
		Status:        decodeStatus(m),
		Duration:      m.duration(fieldDuration),
		RequestClosed: m.text(fieldRequestClosed) == yes,
		Report:        layout.Report(m.numbers(fieldReport)),
	}
	if cost := m.integer(fieldCost); cost > 0 {
		ended.Work = time.Duration(cost/costWorkFactor) * time.Millisecond
		ended.MemoryMB = float64(cost%costWorkFactor) * costMemoryUnitMB
	}
	return ended
}

func decodeStatus(m *message) control.Status {
	status, ok := attemptStatuses[m.text(fieldStatus)]
	if !ok {
		m.fail("unknown %s %q", fieldStatus, m.text(fieldStatus))
	}
	return status
}
