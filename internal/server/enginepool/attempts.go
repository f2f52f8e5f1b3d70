package enginepool

import (
	"slices"
	"strconv"
	"time"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/server/netconn"
)

// duplicateWindow is how long duplicates of a response may follow it; the protocol speaks of milliseconds.
const duplicateWindow = 2 * time.Second

// StartAttempt sends an attempt to its engine.
func (p *Pool) StartAttempt(start broker.StartAttempt) {
	stream := &stream{
		id: start.RequestID, attemptID: start.Attempt, start: start, priority: start.Priority,
		overdueAfter: max(p.config.SilenceThreshold, start.OverdueAfter),
	}
	p.inFlight[start.Attempt] = stream
	p.drains.end(start.Engine) // it is in service again
	p.assign(start.Engine, start.Addr, stream)
}

// FetchPage asks for a further page of a result.
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
	if !stream.queued { // the command follows the message once the connection is established
		return
	}
	priority := strconv.Itoa(set.Priority)
	stream.followUps = append(stream.followUps, p.sendCommand(stream.conn, commandSetPriority, stream.id, priority))
}

// WithdrawAttempt ends an attempt that nobody waits for, if nothing of it has left. One that has begun to
// leave goes on: whether it may be cancelled is for the decision module to say.
func (p *Pool) WithdrawAttempt(id broker.AttemptID) {
	if stream := p.inFlight[id]; stream != nil && !stream.cancelling && !stream.responding && p.withdraw(stream) {
		p.endStream(stream, streamEnd{status: control.NeverSent})
	}
}

// CancelAttempt cancels an attempt. It ends once the command has been sent, or at once if nothing of the
// attempt has left. The command is sent whether or not the deployment allows cancellation: an attempt that timed out
// is in flight until then, and a retry would run beside it.
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
	conn.transport.AfterSent(func() { p.loop.Post(func() { p.cancelled(stream) }) })
}

// cancelled ends an attempt whose cancellation has been sent.
func (p *Pool) cancelled(stream *stream) {
	if stream.done {
		return
	}
	p.retireUntilClientTimeout(stream)
	p.endStream(stream, streamEnd{status: control.Cancelled})
}

// ReleaseAttempt drops an attempt whose result is complete, or whose further pages are not wanted.
func (p *Pool) ReleaseAttempt(release broker.ReleaseAttempt) {
	stream := p.inFlight[release.Attempt]
	if stream == nil {
		return
	}
	stream.done = true
	delete(p.inFlight, release.Attempt)
	if !release.PagesLeft {
		// A duplicate must not be mistaken for the response to another request of the same id.
		p.retire(stream, duplicateWindow)
		return
	}
	p.sendCommand(stream.conn, commandClose, stream.id)
	if !stream.conn.closed {
		p.retireUntilClientTimeout(stream)
	}
}

// Drain withdraws what waits for a connection to an engine that drains, or behind other bytes: it must not leave
// later. The time is measured until what has begun to leave has left.
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
		for _, stream := range conn.inOrder() {
			if !stream.done && !stream.cancelling && p.withdraw(stream) {
				p.endStream(stream, streamEnd{status: control.NeverSent})
			}
		}
	}
}

// retireUntilClientTimeout removes a stream whose response may still come from its connection. Until the last
// client that may use its id has timed out, the id is not used again.
func (p *Pool) retireUntilClientTimeout(stream *stream) { p.retire(stream, p.config.MaxClientTimeout) }

// retire removes a stream from its connection and does not use its id for a time.
func (p *Pool) retire(stream *stream, within time.Duration) {
	stream.conn.retireID(stream.id, time.Now().Add(within))
	p.removeStream(stream)
}
