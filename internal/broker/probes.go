package broker

import (
	"time"

	"wheatlane/control"
)

const loadProbeTimeout = 250 * time.Millisecond

// loadProbe is a load probe in flight.
type loadProbe struct {
	engine string
	sentAt time.Duration
}

// probeLoad sends a load probe to an engine. The probe of an unlisted engine fails immediately.
func (b *Broker) probeLoad(now time.Duration, engine string) {
	endpoint, listed := b.endpoints.Endpoint(engine)
	if !listed {
		b.batch.add(control.ProbeResult{Engine: engine, Status: control.ConnectFailed})
		return
	}
	id := b.timers.NextOrdinal()
	b.probes[id] = loadProbe{engine: engine, sentAt: now}
	b.emit(ProbeLoad{ProbeID: id, Engine: engine, Addr: endpoint.Addr})
	b.timers.Set(now+loadProbeTimeout, probeTimedOut{id})
}

// probeEnded handles the result of a load probe, or its timeout. Only the first of them counts.
func (b *Broker) probeEnded(now time.Duration, event ProbeResult) {
	probe, ok := b.probes[event.ProbeID]
	if !ok {
		return
	}
	delete(b.probes, event.ProbeID)
	b.batch.add(control.ProbeResult{
		Engine:   probe.engine,
		Status:   event.Status,
		Duration: now - probe.sentAt,
		Report:   event.Report,
	})
}
