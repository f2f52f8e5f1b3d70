package enginepool

import (
	"slices"
	"time"

	"wheatlane/internal/server/netconn"
)

// Sweep expires load probes and retired ids, and closes idle connections before their engines do. It has no effect
// until the sweep interval has passed since the last sweep.
func (p *Pool) Sweep() {
	if time.Since(p.sweptAt) > p.config.SweepInterval {
		p.sweptAt = time.Now()
		p.sweepAt(p.sweptAt)
	}
}

func (p *Pool) sweepAt(now time.Time) {
	for _, conns := range p.connsByEngine {
		for _, conn := range slices.Clone(conns) {
			p.expireProbes(conn, now)
			conn.expireRetiredIDs(now)
			p.closeIfIdle(conn, now)
		}
	}
}

// closeIfIdle closes a connection that has been idle for too long, or that accepts no new streams and has none.
func (p *Pool) closeIfIdle(conn *engineConn, now time.Time) {
	finished := conn.closing && len(conn.streams) == 0
	if finished || conn.idleTooLong(now, p.config.IdleTimeout) {
		p.close(conn, netconn.Idle)
	}
}
