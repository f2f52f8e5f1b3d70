package enginepool

import (
	"context"
	"maps"
	"slices"
	"time"

	"wheatlane/control"
	"wheatlane/internal/server/netconn"
)

const maxRetiredIDs = 1024 // ids retired on one connection; it is replaced then

// engineConn is a connection to an engine, or one that is being established. It multiplexes streams, each
// under an id of its own. The owner of the pool owns it.
type engineConn struct {
	engine, addr string
	transport    *netconn.Conn           // nil while it is being established
	cancel       context.CancelCauseFunc // ends its goroutines
	streams      map[string]*stream      // by id
	retiredIDs   map[string]time.Time    // until when a response may come for ids that nothing waits for
	closing      bool                    // it accepts no new streams and closes with the last
	closed       bool
	localFault   bool // it could not be established for a fault of this machine
	dialStarted  time.Time
	lastUsed     time.Time   // when the last stream was put on it
	lastReceived time.Time   // when the last response came, or when it was established
	suspectSince time.Time   // since when it is suspected to be dead; zero: it is not
	drain        *drainTimer // it has bytes queued from before its engine's drain; nil: it has none
}

// newEngineConn returns a connection that is yet to be established.
func newEngineConn(engine, addr string) *engineConn {
	return &engineConn{
		engine: engine, addr: addr, dialStarted: time.Now(),
		streams: map[string]*stream{}, retiredIDs: map[string]time.Time{},
	}
}

// accepts reports whether a stream of this id can be put on the connection. An id is used once only: a late
// response to an earlier attempt could not be told from one to this.
func (c *engineConn) accepts(id, addr string, maxStreams int) bool {
	_, retired := c.retiredIDs[id]
	return !retired && c.streams[id] == nil && !c.closing && c.suspectSince.IsZero() && c.addr == addr &&
		len(c.streams) < maxStreams
}

// add puts a stream on the connection.
func (c *engineConn) add(s *stream) {
	s.conn = c
	c.streams[s.id] = s
	c.lastUsed = s.startedAt
}

// inOrder returns the streams in the order of their start.
func (c *engineConn) inOrder() []*stream {
	byStart := func(a, b *stream) int { return a.startedAt.Compare(b.startedAt) }
	return slices.SortedFunc(maps.Values(c.streams), byStart)
}

// retireID keeps an id from being used again until a time: a response to it may still come.
func (c *engineConn) retireID(id string, until time.Time) {
	c.retiredIDs[id] = until
	c.closing = c.closing || len(c.retiredIDs) >= maxRetiredIDs
}

// expireRetiredIDs removes the retired ids whose time is over.
func (c *engineConn) expireRetiredIDs(now time.Time) {
	maps.DeleteFunc(c.retiredIDs, func(_ string, until time.Time) bool { return now.After(until) })
}

// idleTooLong reports whether nothing was in flight for so long that the engine, which closes connections
// idle for timeout, may close it any moment: a message sent then could cross that close, and nobody would
// know whether the engine took it.
func (c *engineConn) idleTooLong(now time.Time, timeout time.Duration) bool {
	return len(c.streams) == 0 && now.Sub(c.lastUsed) > time.Duration(idleCloseFraction*float64(timeout))
}

// neverSentStatus is the status of an attempt that never left on a connection that has ended. A fault of this machine
// is no evidence against the engine.
func (c *engineConn) neverSentStatus() control.Status {
	if c.localFault {
		return control.NeverSent
	}
	return control.ConnectFailed
}

// withdraw removes a stream's message and the commands that followed it from the send queue. It returns
// false if a byte of the message may have left. The stream stays on the connection.
func (c *engineConn) withdraw(s *stream) bool {
	if c.transport == nil {
		return true
	}
	if !c.transport.Withdraw(s.offset) {
		return false
	}
	for _, offset := range s.followUps {
		c.transport.Withdraw(offset) // it is queued behind the stream's message, so it has not left either
	}
	return true
}
