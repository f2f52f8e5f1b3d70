package enginepool

import (
	"time"

	"wheatlane/internal/loadfields"
)

const (
	// SilenceThreshold is the time without received bytes after which a connection with an overdue response is suspected
	// to be dead.
	SilenceThreshold = 500 * time.Millisecond

	// idleCloseFraction is the fraction of the engines' idle timeout after which the broker closes a connection, before
	// the engine does.
	idleCloseFraction = 0.6
	// maxSweepInterval is the maximum time between sweeps for idle connections. Engines with short idle timeouts require
	// shorter intervals; see SweepInterval.
	maxSweepInterval = time.Second

	// maxSendDelay is the maximum time that bytes for an engine may wait, in the send queue or because the socket is
	// blocked: an attempt that was decided on before the drain of its engine was known must not be sent after the drain's
	// grace period.
	maxSendDelay = 400 * time.Millisecond
	// drainGraceFraction is the fraction of the grace period that bytes may wait in the broker; the remainder is for
	// the network.
	drainGraceFraction = 0.8

	defaultConnsPerEngine = 8  // connections to one engine, unless each accepts few streams
	minStreamsPerEngine   = 64 // concurrent streams that the connections to one engine must provide
)

// Config configures a pool.
type Config struct {
	MaxConns         int               // connections to all engines together
	MaxStreams       int               // concurrent attempts and load probes on one connection
	ConnectTimeout   time.Duration     // of a new connection
	IdleTimeout      time.Duration     // after which engines close an idle connection
	SweepInterval    time.Duration     // between sweeps for idle connections
	DrainGrace       time.Duration     // after a drain, during which attempts may still arrive; 0: not limited
	SilenceThreshold time.Duration     // usually the constant SilenceThreshold
	MaxClientTimeout time.Duration     // the longest client timeout that was ever in force
	LoadProbes       bool              // engines may be probed
	Hedging          bool              // two attempts of one request may be in flight
	LoadReport       loadfields.Layout // layout of the engines' load reports
}

// SweepInterval returns the time between sweeps for idle connections where engines close these after idleTimeout. It is
// short enough to find a connection between idleCloseFraction of the timeout and its end.
func SweepInterval(idleTimeout time.Duration) time.Duration {
	return min(maxSweepInterval, time.Duration((1-idleCloseFraction)/2*float64(idleTimeout)))
}

// MaxSendDelay returns the maximum time from the start of an attempt until it is sent: it waits for its connection, and
// then behind other bytes.
func (c *Config) MaxSendDelay() time.Duration { return c.ConnectTimeout + c.queueDelay() }

// queueDelay returns the maximum time that bytes for an engine may wait in the send queue.
func (c *Config) queueDelay() time.Duration {
	if c.DrainGrace <= 0 {
		return maxSendDelay
	}
	return min(maxSendDelay, time.Duration(drainGraceFraction*float64(c.DrainGrace)))
}

// maxConnsPerEngine returns the maximum number of connections to one engine. Deployments with few streams per
// connection need more connections; otherwise their engines would count as unreachable.
func (c *Config) maxConnsPerEngine() int {
	return max(defaultConnsPerEngine, (minStreamsPerEngine+c.MaxStreams-1)/c.MaxStreams)
}
