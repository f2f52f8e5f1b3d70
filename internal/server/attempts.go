package server

import (
	"slices"
	"strconv"
	"time"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/server/netconn"
)

// duplicateWindow is how long duplicates of a response may follow it; by the protocol that is milliseconds.
const duplicateWindow = 2 * time.Second

// startAttempt sends an attempt to its engine.
func (p *enginePool) startAttempt(a broker.StartAttempt) {
	s := &stream{
		id: a.RequestID, attemptID: a.Attempt, start: a, priority: a.Priority,
		overdueAfter: max(silenceThreshold, a.OverdueAfter),
	}
	p.inFlight[a.Attempt] = s
	p.drains.forget(a.Engine) // it is in service again
	p.assign(a.Engine, a.Addr, s)
}

// fetchPage asks for a further page of a result.
func (p *enginePool) fetchPage(f broker.FetchPage) {
	if s := p.inFlight[f.Attempt]; s != nil && s.conn.transport != nil {
		p.sendCommand(s.conn, commandFetchPage, s.id, strconv.Itoa(f.Page))
	}
}

// setPriority changes the priority of an attempt that is in flight.
func (p *enginePool) setPriority(set broker.SetPriority) {
	s := p.inFlight[set.Attempt]
	if s == nil || s.cancelling {
		return
	}
	s.priority = set.Priority
	if !s.queued { // the command follows the message once the connection is established
		return
	}
	priority := strconv.Itoa(set.Priority)
	s.followUps = append(s.followUps, p.sendCommand(s.conn, commandSetPriority, s.id, priority))
}

// withdrawAttempt ends an attempt that nobody waits for, if nothing of it has left. One that has begun to
// leave goes on: whether it may be cancelled is for the decision module to say.
func (p *enginePool) withdrawAttempt(id broker.AttemptID) {
	if s := p.inFlight[id]; s != nil && !s.cancelling && !s.responding && p.withdraw(s) {
		p.endStream(s, streamEnd{status: control.NeverSent})
	}
}

// cancelAttempt cancels an attempt. It ends once the command has been sent, or at once if nothing of the
// attempt has left. The command is sent whether or not the deployment allows cancellation, as an attempt
// that timed out has to be cancelled by it as well: until then it is in flight, and a retry would run
// beside it. (Measured without it: three of twelve brink days of deploy/sites/shortline broke the rule on
// duplicates.)
func (p *enginePool) cancelAttempt(id broker.AttemptID) {
	s := p.inFlight[id]
	if s == nil || s.cancelling {
		return
	}
	if !s.responding && p.withdraw(s) {
		p.endStream(s, streamEnd{status: control.NeverSent})
		return
	}
	s.cancelling = true
	cmd := commandCancel
	if s.responding {
		cmd = commandClose
	}
	c := s.conn
	p.sendCommand(c, cmd, s.id)
	p.suspectIfSilent(c, s)
	if c.closed {
		return
	}
	c.transport.AfterSent(func() { p.post(func() { p.cancelled(s) }) })
}

// cancelled ends an attempt whose cancellation has been sent.
func (p *enginePool) cancelled(s *stream) {
	if s.done {
		return
	}
	p.retireUntilClientTimeout(s)
	p.endStream(s, streamEnd{status: control.Cancelled})
}

// releaseAttempt forgets an attempt whose result is complete, or whose further pages are not wanted.
func (p *enginePool) releaseAttempt(r broker.ReleaseAttempt) {
	s := p.inFlight[r.Attempt]
	if s == nil {
		return
	}
	s.done = true
	delete(p.inFlight, r.Attempt)
	if !r.PagesLeft {
		// A duplicate must not be mistaken for the response to another request of the same id.
		p.retire(s, duplicateWindow)
		return
	}
	p.sendCommand(s.conn, commandClose, s.id)
	if !s.conn.closed {
		p.retireUntilClientTimeout(s)
	}
}

// cancelUnsent ends what waits for a connection to an engine that drains, or behind other bytes: it must
// not leave later.
func (p *enginePool) cancelUnsent(engine string) {
	for _, c := range slices.Clone(p.connsByEngine[engine]) {
		if c.transport == nil {
			p.close(c, netconn.EngineGone)
			continue
		}
		for _, s := range c.inOrder() {
			if !s.done && !s.cancelling && p.withdraw(s) {
				p.endStream(s, streamEnd{status: control.NeverSent})
			}
		}
	}
}

// retireUntilClientTimeout removes a stream whose response may still come from its connection. Until the last
// client that may use its id has timed out, the id is not used again.
func (p *enginePool) retireUntilClientTimeout(s *stream) { p.retire(s, p.server.maxClientTimeout()) }

// retire removes a stream from its connection and does not use its id for a time.
func (p *enginePool) retire(s *stream, within time.Duration) {
	s.conn.retireID(s.id, time.Now().Add(within))
	p.removeStream(s)
}
