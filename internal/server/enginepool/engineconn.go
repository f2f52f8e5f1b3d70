package enginepool

import (
	"context"
	"maps"
	"slices"
	"time"

	"wheatlane/control"
	"wheatlane/internal/server/netconn"
)

const maxRetiredIDs = 1024 // on one connection; a connection that reaches it is replaced

// engineConn is a connection to an engine that is established or being established. It multiplexes streams, each with a
// unique id. It belongs to the owner of the pool.
type engineConn struct {
	engine, addr string
	transport    *netconn.Conn           // nil while the connection is being established
	cancel       context.CancelCauseFunc // ends the goroutines of the connection
	streams      map[string]*stream      // by id
	retiredIDs   map[string]time.Time    // ids that must not be reused, with the end of that time
	closing      bool                    // the connection accepts no new streams and closes with the last one
	closed       bool
	localFault   bool // the connection could not be established because of a fault of this machine
	dialStarted  time.Time
	lastUsed     time.Time   // when the last stream was added
	lastReceived time.Time   // when the last response arrived, or when the connection was established
	suspectSince time.Time   // since when the connection is suspected to be dead; zero if it is not
	drain        *drainTimer // drain that waits for unsent bytes of this connection; nil if there is none
}

// newEngineConn returns a connection that is not established yet.
func newEngineConn(engine, addr string) *engineConn {
	return &engineConn{
		engine: engine, addr: addr, dialStarted: time.Now(),
		streams: map[string]*stream{}, retiredIDs: map[string]time.Time{},
	}
}

// accepts reports whether the connection can carry another stream with this id. An id in use or retired is not
// accepted: a late response to the earlier attempt could not be distinguished from the response to the new one.
func (c *engineConn) accepts(id, addr string, maxStreams int) bool {
	_, retired := c.retiredIDs[id]
	return !retired && c.streams[id] == nil && !c.closing && c.suspectSince.IsZero() && c.addr == addr &&
		len(c.streams) < maxStreams
}

// add adds a stream to the connection.
func (c *engineConn) add(s *stream) {
	s.conn = c
	c.streams[s.id] = s
	c.lastUsed = s.startedAt
}

// streamsByStart returns the streams, ordered by their start.
func (c *engineConn) streamsByStart() []*stream {
	byStart := func(a, b *stream) int { return a.startedAt.Compare(b.startedAt) }
	return slices.SortedFunc(maps.Values(c.streams), byStart)
}

// retireID blocks reuse of an id until a time, because a response with this id may still arrive.
func (c *engineConn) retireID(id string, until time.Time) {
	c.retiredIDs[id] = until
	c.closing = c.closing || len(c.retiredIDs) >= maxRetiredIDs
}

// expireRetiredIDs removes the retired ids whose time has passed.
func (c *engineConn) expireRetiredIDs(now time.Time) {
	maps.DeleteFunc(c.retiredIDs, func(_ string, until time.Time) bool { return now.After(until) })
}

// idleTooLong reports whether the connection has been idle for most of timeout, after which the engine closes it. A
// message sent near that time could race with the close, and the broker could not determine whether the engine received
// it.
func (c *engineConn) idleTooLong(now time.Time, timeout time.Duration) bool {
	return len(c.streams) == 0 && now.Sub(c.lastUsed) > time.Duration(idleCloseFraction*float64(timeout))
}

// neverSentStatus returns the status of an attempt of which nothing was sent before its connection ended. A fault of
// this machine does not count against the engine.
func (c *engineConn) neverSentStatus() control.Status {
	if c.localFault {
		return control.NeverSent
	}
	return control.ConnectFailed
}

// withdraw removes a stream's message and its later commands from the send queue. It returns false if a byte of the
// message may have been sent. The stream stays on the connection.
func (c *engineConn) withdraw(s *stream) bool {
	if c.transport == nil {
		return true
	}
	if !c.transport.Withdraw(s.offset) {
		return false
	}
	for _, offset := range s.followUps {
		c.transport.Withdraw(offset) // queued behind the stream's message, so not sent either
	}
	return true
}
