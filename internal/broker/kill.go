package broker

import "time"

// PeerProcesses passes commands on to the other process of this broker, of which there is one during an upgrade. Its
// method is called on the goroutine that owns the reducer.
type PeerProcesses interface {
	// ForwardKill passes on a KILL for a session that this process does not know, and reports whether there is another
	// process. If there is, KillAnswered follows.
	ForwardKill(kill Kill) bool
}

// noPeerProcesses is used where there is no other process.
type noPeerProcesses struct{}

func (noPeerProcesses) ForwardKill(Kill) bool { return false }

// SetPeerProcesses sets where KILL is passed on to. It must be called before the first event.
func (b *Broker) SetPeerProcesses(peers PeerProcesses) { b.peers = peers }

// HasSession reports whether a session is open.
func (b *Broker) HasSession(id Session) bool { return b.sessions.byID[id] != nil }

func (c Kill) execute(b *Broker, now time.Duration, session *session) {
	if b.HasSession(c.Target) {
		b.reply(session.id, Reply{Kind: ReplyOK})
		b.killSession(now, c)
		return
	}
	if b.peers.ForwardKill(c) {
		session.awaitsKill = true
		return
	}
	b.answerKill(session.id, false)
}

// answerKill answers a KILL whose session is known to a process of this broker, or to none.
func (b *Broker) answerKill(session Session, known bool) {
	reply := Reply{Kind: ReplyUnknownSession, Text: unknownSessionText}
	if known {
		reply = Reply{Kind: ReplyOK}
	}
	b.reply(session, reply)
}

// killSession ends the open request of a session, those that the session sent before the KILL and that are not read
// yet, and with CloseConnection the session.
func (b *Broker) killSession(now time.Duration, kill Kill) {
	target := b.sessions.byID[kill.Target]
	if target == nil {
		return
	}
	target.killedAt = max(target.killedAt, kill.SentAt)
	if request := target.openRequest; request != nil {
		b.reply(target.id, Reply{Kind: ReplyInterrupted, Text: queryKilledText})
		b.abandon(now, request, EndKilled)
		b.resumeSession(now, target.id)
	}
	if kill.CloseConnection {
		b.closeSession(target.id, CloseKilled)
		b.endSession(now, target.id, EndKilled)
	}
}

// killAnswered answers a KILL that was passed on. Its session may have ended, or have been answered already.
func (b *Broker) killAnswered(now time.Duration, answer KillAnswered) {
	session := b.sessions.byID[answer.Session]
	if session == nil || !session.awaitsKill {
		return
	}
	session.awaitsKill = false
	b.answerKill(session.id, answer.Known)
	b.resumeSession(now, session.id)
}

// stopAwaitingKill answers a KILL that was passed on before the answer of the other process is there: it was accepted.
func (b *Broker) stopAwaitingKill(session *session) {
	if session.awaitsKill {
		session.awaitsKill = false
		b.answerKill(session.id, true)
	}
}
