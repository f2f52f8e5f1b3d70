package enginepool

import (
	"slices"
	"time"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/server/netconn"
)

// send queues a stream's message, as it is now, on its connection. It is the one place where attempts leave for
// engines: one whose time is over, or that has waited for as long as it may, does not.
func (p *Pool) send(stream *stream, now time.Time) {
	maxDelay := p.config.MaxSendDelay()
	if !stream.isProbe() && (stream.timeLeft(now) <= 0 || now.Sub(stream.startedAt) >= maxDelay) {
		p.removeStream(stream)
		p.endStream(stream, streamEnd{status: control.NeverSent})
		return
	}
	offset, err := stream.conn.transport.WriteExpiring(stream.message(now), stream.expiresAt(now, maxDelay))
	stream.offset, stream.queued = offset, true
	if err != nil { // the queue is full, so nothing of it leaves
		p.removeStream(stream)
		p.endStream(stream, streamEnd{status: control.ConnectFailed})
	}
}

// sendCommand queues a command that nothing answers, or whose answer belongs to a stream, and returns its
// offset.
func (p *Pool) sendCommand(conn *engineConn, cmd command, id string, args ...string) int64 {
	offset, err := conn.transport.Write(appendCommand(nil, cmd, id, args...))
	if err != nil {
		p.close(conn, netconn.BufferFull)
	}
	return offset
}

// resendExpired sends the attempts anew whose messages were withdrawn because they had waited too long. It is called
// in each round, so it looks at the connections only if there is something to find. This is no retry: no byte of such a
// message had left, and the attempt keeps its number.
func (p *Pool) resendExpired() {
	if !p.writesExpired.Swap(false) {
		return
	}
	for _, conns := range p.connsByEngine {
		for _, conn := range slices.Clone(conns) {
			if conn.transport != nil {
				p.resendExpiredOn(conn)
				p.reportLateWrites(conn)
			}
		}
	}
}

func (p *Pool) resendExpiredOn(conn *engineConn) {
	expired := conn.transport.TakeExpired()
	if len(expired) == 0 {
		return
	}
	for _, stream := range conn.inOrder() {
		if stream.done || stream.cancelling || !slices.Contains(expired, stream.offset) {
			continue
		}
		for _, offset := range stream.followUps {
			conn.transport.Withdraw(offset) // the new message has its own
		}
		stream.followUps, stream.queued = nil, false
		p.send(stream, time.Now())
	}
}

// reportLateWrites reports the attempts that left on a connection with a timeout that had become too long.
func (p *Pool) reportLateWrites(conn *engineConn) {
	for range conn.transport.TakeLateWrites() {
		p.observer.LateWrite(conn.engine)
	}
}

// withdraw cancels a stream of which no byte has left, without notifying the engine; false if one may have.
func (p *Pool) withdraw(stream *stream) bool {
	if !stream.conn.withdraw(stream) {
		return false
	}
	p.removeStream(stream)
	return true
}

// removeStream removes a stream from its connection, which closes if it only waited for that.
func (p *Pool) removeStream(stream *stream) {
	conn := stream.conn
	delete(conn.streams, stream.id)
	suspected := !conn.suspectSince.IsZero() && !p.mayCloseSilent()
	if len(conn.streams) == 0 && (conn.closing || suspected) {
		p.close(conn, netconn.Retired)
	}
}

// streamEnd is how a stream ended.
type streamEnd struct {
	status      control.Status
	sharedCause bool // it ended with its connection, and another attempt has reported that already
}

// endStream notifies the reducer of the end of a stream, once.
func (p *Pool) endStream(stream *stream, end streamEnd) {
	if stream.done {
		return
	}
	stream.done = true
	if stream.isProbe() {
		p.events.Enqueue(broker.ProbeResult{ProbeID: stream.probeID, Status: end.status})
		return
	}
	delete(p.inFlight, stream.attemptID)
	p.events.Enqueue(broker.AttemptEnded{
		Attempt: stream.attemptID, Status: end.status, SharedCause: end.sharedCause,
	})
}

// endStreams ends the streams of a connection that has closed. One attempt is enough to report a fault of
// the engine: all of them ended for the same cause.
func (p *Pool) endStreams(conn *engineConn) {
	leftBytes := int64(-1)
	var expired []int64
	if conn.transport != nil {
		leftBytes, expired = conn.transport.WithdrawAll(), conn.transport.TakeExpired()
	}
	streams := conn.inOrder()
	clear(conn.streams)
	reported := false
	for _, stream := range streams {
		switch {
		case stream.cancelling: // the end of its connection notifies the engine as well
			p.endStream(stream, streamEnd{status: control.Cancelled})
			continue
		case stream.neverSent(leftBytes) || slices.Contains(expired, stream.offset): // it never ran
			p.endStream(stream, streamEnd{conn.neverSentStatus(), reported})
		default:
			p.endStream(stream, streamEnd{control.ConnectionReset, reported})
		}
		reported = reported || !stream.isProbe()
	}
}
