package enginepool

import (
	"time"

	"wheatlane/internal/broker"
)

// probeExpiry is how long a load probe may stay unanswered.
const probeExpiry = time.Second

// StartProbe asks an engine for its load.
func (p *Pool) StartProbe(probe broker.ProbeLoad) {
	id := probeIDOnWire(probe.ProbeID)
	p.assign(probe.Engine, probe.Addr, &stream{
		id: id, probeID: probe.ProbeID, overdueAfter: p.config.SilenceThreshold,
	})
}

// expireProbes removes the probes on a connection that were not answered. The reducer has its own
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
