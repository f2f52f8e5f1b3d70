package enginepool

import (
	"slices"
	"time"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/server/netconn"
)

// send queues a stream's message, encoded with its current state, on its connection. All attempts to engines are sent
// here: an attempt that has timed out or has waited for MaxSendDelay is not sent.
func (p *Pool) send(stream *stream, now time.Time) {
	maxDelay := p.config.MaxSendDelay()
	if !stream.isProbe() && (stream.timeLeft(now) <= 0 || now.Sub(stream.startedAt) >= maxDelay) {
		p.removeStream(stream)
		p.endStream(stream, streamEnd{status: control.NeverSent})
		return
	}
	offset, err := stream.conn.transport.WriteExpiring(stream.message(now), stream.expiresAt(now, maxDelay))
	stream.offset, stream.queued = offset, true
	if err != nil { // the queue is full, so no byte of the message is sent
		p.removeStream(stream)
		p.endStream(stream, streamEnd{status: control.ConnectFailed})
	}
}

// sendCommand queues a command that has no response, or whose response belongs to an existing stream, and returns its
// offset in the send queue.
func (p *Pool) sendCommand(conn *engineConn, cmd command, id string, args ...string) int64 {
	offset, err := conn.transport.Write(appendCommand(nil, cmd, id, args...))
	if err != nil {
		p.close(conn, netconn.BufferFull)
	}
	return offset
}

// resendExpired resends the attempts whose messages were withdrawn because they expired in a send queue, and ends those
// that are abandoned. It runs in each loop iteration, so it visits the connections only if a write has expired. This is
// not a retry: no byte of the message was sent, and the attempt keeps its number.
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
	for _, stream := range conn.streamsByStart() {
		if stream.done || stream.cancelling || !slices.Contains(expired, stream.offset) {
			continue
		}
		for _, offset := range stream.followUps {
			conn.transport.Withdraw(offset) // the new message includes its own commands
		}
		stream.followUps, stream.queued = nil, false
		if stream.abandoned {
			p.removeStream(stream)
			p.endStream(stream, streamEnd{status: control.NeverSent})
			continue
		}
		p.send(stream, time.Now())
	}
}

// reportLateWrites reports the attempts that were sent on a connection with an outdated, too long timeout.
func (p *Pool) reportLateWrites(conn *engineConn) {
	for range conn.transport.TakeLateWrites() {
		p.observer.LateWrite(conn.engine)
	}
}

// withdraw removes a stream of which no byte has been sent, without notifying the engine. It returns false if a byte
// may have been sent.
func (p *Pool) withdraw(stream *stream) bool {
	if !stream.conn.withdraw(stream) {
		return false
	}
	p.removeStream(stream)
	return true
}

// removeStream removes a stream from its connection. The connection closes if this was its last stream and it accepts
// no new ones.
func (p *Pool) removeStream(stream *stream) {
	conn := stream.conn
	delete(conn.streams, stream.id)
	suspected := !conn.suspectSince.IsZero() && !p.mayCloseSilent()
	if len(conn.streams) == 0 && (conn.closing || suspected) {
		p.close(conn, netconn.Retired)
	}
}

// streamEnd is the outcome of a stream.
type streamEnd struct {
	status      control.Status
	sharedCause bool // the stream ended with its connection, and another attempt has already reported that
}

// endStream notifies the reducer of the end of a stream, unless the stream has already ended.
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

// endStreams ends the streams of a connection that has closed. Only one attempt reports a fault of the engine, because
// all of them ended for the same cause.
func (p *Pool) endStreams(conn *engineConn) {
	submittedBytes := int64(-1)
	var expired []int64
	if conn.transport != nil {
		submittedBytes, expired = conn.transport.WithdrawAll(), conn.transport.TakeExpired()
	}
	streams := conn.streamsByStart()
	clear(conn.streams)
	reported := false
	for _, stream := range streams {
		switch {
		case stream.cancelling: // the closed connection also cancels the attempt at the engine
			p.endStream(stream, streamEnd{status: control.Cancelled})
			continue
		case stream.neverSent(submittedBytes) || slices.Contains(expired, stream.offset): // never ran
			p.endStream(stream, streamEnd{conn.neverSentStatus(), reported})
		default:
			p.endStream(stream, streamEnd{control.ConnectionReset, reported})
		}
		reported = reported || !stream.isProbe()
	}
}
