package server

import (
	"slices"
	"time"

	"wheatlane/internal/server/netconn"
)

// sweep expires load probes and retired ids, and closes connections that are idle before their engines do.
func (p *enginePool) sweep() {
	now := time.Now()
	for _, conns := range p.connsByEngine {
		for _, c := range slices.Clone(conns) {
			p.expireProbes(c, now)
			c.expireRetiredIDs(now)
			p.closeIfIdle(c, now)
		}
	}
}

// closeIfIdle closes a connection that is idle for too long, or that accepts no new streams and has none.
func (p *enginePool) closeIfIdle(c *engineConn, now time.Time) {
	finished := c.closing && len(c.streams) == 0
	if finished || c.idleTooLong(now, p.server.cfg.Settings.ConnIdleTimeout) {
		p.close(c, netconn.Idle)
	}
}
