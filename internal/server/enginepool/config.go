package enginepool

import (
	"time"

	"wheatlane/internal/loadfields"
)

const (
	// SilenceThreshold is how long a connection with an overdue response may receive nothing before it is suspect.
	SilenceThreshold = 500 * time.Millisecond

	// idleCloseFraction is the fraction of the engines' idle timeout after which a connection is closed from this
	// side, ahead of the engine.
	idleCloseFraction = 0.6
	// maxSweepInterval is the longest time between searches for idle connections, less where engines close them soon.
	maxSweepInterval = time.Second

	// maxSendDelay bounds how long bytes for an engine may wait before they leave, in the send queue or behind others
	// that the system does not take: a send that was decided on before a drain was known must not leave after the
	// drain's grace period.
	maxSendDelay = 400 * time.Millisecond
	// drainGraceFraction is the fraction of the grace period that bytes may wait here; the rest is for the network.
	drainGraceFraction = 0.8

	defaultConnsPerEngine = 8  // connections to one engine, more where each takes few streams
	minStreamsPerEngine   = 64 // streams that one engine can be sent at once, however few a connection takes
)

// Config is what a pool knows of its deployment.
type Config struct {
	MaxConns         int               // connections to all engines together
	MaxStreams       int               // attempts and load probes at once on one connection
	ConnectTimeout   time.Duration     // of a new connection
	IdleTimeout      time.Duration     // after which engines close an idle connection
	SweepInterval    time.Duration     // between searches for idle connections
	DrainGrace       time.Duration     // after a drain, in which decided sends may still arrive; 0: not limited
	SilenceThreshold time.Duration     // usually SilenceThreshold
	MaxClientTimeout time.Duration     // the longest client timeout that was ever in force
	LoadProbes       bool              // engines may be probed
	Hedging          bool              // two attempts of one request may be in flight
	LoadReport       loadfields.Layout // of the load reports of engines
}

// SweepInterval returns how often idle connections are looked for where engines close them after a time: often
// enough to find them between idleCloseFraction of that time and its end.
func SweepInterval(idleTimeout time.Duration) time.Duration {
	return min(maxSweepInterval, time.Duration((1-idleCloseFraction)/2*float64(idleTimeout)))
}

// MaxSendDelay is how long after its start an attempt may leave: it waits for its connection, and then behind other
// bytes.
func (c *Config) MaxSendDelay() time.Duration { return c.ConnectTimeout + c.queueDelay() }

// queueDelay is how long bytes for an engine may wait in the send queue.
func (c *Config) queueDelay() time.Duration {
	if c.DrainGrace <= 0 {
		return maxSendDelay
	}
	return min(maxSendDelay, time.Duration(drainGraceFraction*float64(c.DrainGrace)))
}

// maxConnsPerEngine is how many connections one engine gets. Deployments whose connections take few streams each need
// more, or their engines would count as unreachable.
func (c *Config) maxConnsPerEngine() int {
	return max(defaultConnsPerEngine, (minStreamsPerEngine+c.MaxStreams-1)/c.MaxStreams)
}
