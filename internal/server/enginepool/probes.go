package enginepool

import (
	"time"

	"wheatlane/internal/broker"
)

// probeExpiry is the time after which a load probe without a response is removed.
const probeExpiry = time.Second

// StartProbe sends a load probe to an engine.
func (p *Pool) StartProbe(probe broker.ProbeLoad) {
	id := probeIDOnWire(probe.ProbeID)
	p.assign(probe.Engine, probe.Addr, &stream{
		id: id, probeID: probe.ProbeID, overdueAfter: p.config.SilenceThreshold,
	})
}

// expireProbes removes the load probes of a connection that received no response in time. The reducer has a separate
// timeout for them.
func (p *Pool) expireProbes(conn *engineConn, now time.Time) {
	if conn.transport == nil {
		return
	}
	for _, stream := range conn.streams {
		if stream.isProbe() && now.Sub(stream.startedAt) > probeExpiry {
			stream.done = true
			p.retireUntilClientTimeout(stream)
		}
	}
}
