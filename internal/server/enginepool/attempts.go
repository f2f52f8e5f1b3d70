package enginepool

import (
	"slices"
	"strconv"
	"time"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/server/netconn"
)

// duplicateWindow is the time during which duplicates of a response are expected; by the protocol they follow within
// milliseconds.
const duplicateWindow = 2 * time.Second

// StartAttempt sends an attempt to its engine.
func (p *Pool) StartAttempt(start broker.StartAttempt) {
	stream := &stream{
		id: start.RequestID, attemptID: start.Attempt, start: start, priority: start.Priority,
		overdueAfter: max(p.config.SilenceThreshold, start.OverdueAfter),
	}
	p.inFlight[start.Attempt] = stream
	p.drains.end(start.Engine) // the engine is in service again
	p.assign(start.Engine, start.Addr, stream)
}

// FetchPage requests a further page of a result.
func (p *Pool) FetchPage(fetch broker.FetchPage) {
	if stream := p.inFlight[fetch.Attempt]; stream != nil && stream.conn.transport != nil {
		p.sendCommand(stream.conn, commandFetchPage, stream.id, strconv.Itoa(fetch.Page))
	}
}

// SetPriority changes the priority of an attempt that is in flight.
func (p *Pool) SetPriority(set broker.SetPriority) {
	stream := p.inFlight[set.Attempt]
	if stream == nil || stream.cancelling {
		return
	}
	stream.priority = set.Priority
	if !stream.queued { // message appends the command once the connection is established
		return
	}
	priority := strconv.Itoa(set.Priority)
	stream.followUps = append(stream.followUps, p.sendCommand(stream.conn, commandSetPriority, stream.id, priority))
}

// WithdrawAttempt ends an attempt whose result is no longer needed, if none of its bytes have been sent. An attempt of
// which bytes may have been sent continues: the decision module decides whether it may be cancelled.
func (p *Pool) WithdrawAttempt(id broker.AttemptID) {
	stream := p.inFlight[id]
	switch {
	case stream == nil || stream.cancelling || stream.responding:
	case p.withdraw(stream):
		p.endStream(stream, streamEnd{status: control.NeverSent})
	default:
		stream.abandoned = true
		stream.dropStatement()
	}
}

// CancelAttempt cancels an attempt. The attempt ends once the cancel command has been sent, or immediately if none of
// its bytes have been sent. The command is sent even if the deployment does not allow cancellation: otherwise an
// attempt that timed out would stay in flight, and a retry would run concurrently with it.
func (p *Pool) CancelAttempt(id broker.AttemptID) {
	stream := p.inFlight[id]
	if stream == nil || stream.cancelling {
		return
	}
	if !stream.responding && p.withdraw(stream) {
		p.endStream(stream, streamEnd{status: control.NeverSent})
		return
	}
	stream.cancelling = true
	stream.dropStatement()
	cmd := commandCancel
	if stream.responding {
		cmd = commandClose
	}
	conn := stream.conn
	p.sendCommand(conn, cmd, stream.id)
	p.suspectIfSilent(conn, stream)
	if conn.closed {
		return
	}
	conn.transport.AfterSent(func() { p.loop.Post(func() { p.endCancelled(stream) }) })
}

// endCancelled ends an attempt whose cancel command has been sent.
func (p *Pool) endCancelled(stream *stream) {
	if stream.done {
		return
	}
	p.retireUntilClientTimeout(stream)
	p.endStream(stream, streamEnd{status: control.Cancelled})
}

// ReleaseAttempt removes an attempt whose result is complete or whose further pages are not needed.
func (p *Pool) ReleaseAttempt(release broker.ReleaseAttempt) {
	stream := p.inFlight[release.Attempt]
	if stream == nil {
		return
	}
	stream.done = true
	delete(p.inFlight, release.Attempt)
	if !release.PagesLeft {
		// A duplicate must not be mistaken for the response to another request with the same id.
		p.retire(stream, duplicateWindow)
		return
	}
	p.sendCommand(stream.conn, commandClose, stream.id)
	if !stream.conn.closed {
		p.retireUntilClientTimeout(stream)
	}
}

// Drain withdraws the attempts that wait for a connection to a draining engine or behind other bytes in a send queue:
// they must not be sent later. The duration of the drain is measured until all bytes that remain queued are sent.
func (p *Pool) Drain(engine string) {
	p.drains.start(engine, p.connsByEngine[engine], p.loop.Post)
	p.cancelUnsent(engine)
}

func (p *Pool) cancelUnsent(engine string) {
	for _, conn := range slices.Clone(p.connsByEngine[engine]) {
		if conn.transport == nil {
			p.close(conn, netconn.EngineGone)
			continue
		}
		for _, stream := range conn.streamsByStart() {
			if !stream.done && !stream.cancelling && p.withdraw(stream) {
				p.endStream(stream, streamEnd{status: control.NeverSent})
			}
		}
	}
}

// retireUntilClientTimeout removes a stream whose response may still arrive from its connection. Its id is not reused
// until the last client that may use it has timed out.
func (p *Pool) retireUntilClientTimeout(stream *stream) { p.retire(stream, p.config.MaxClientTimeout) }

// retire removes a stream from its connection and blocks reuse of its id for a time.
func (p *Pool) retire(stream *stream, within time.Duration) {
	stream.conn.retireID(stream.id, time.Now().Add(within))
	p.removeStream(stream)
}
