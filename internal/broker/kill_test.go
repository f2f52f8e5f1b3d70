package broker

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// fakePeer is another process of the broker. It implements PeerProcesses.
type fakePeer struct{ kills []Kill }

// ForwardKill implements PeerProcesses.
func (p *fakePeer) ForwardKill(kill Kill) bool {
	p.kills = append(p.kills, kill)
	return true
}

// replyKinds returns the kinds of the replies among effects.
func replyKinds(effects []Effect) (kinds []ReplyKind) {
	for _, reply := range effectsOf[Reply](effects) {
		kinds = append(kinds, reply.Kind)
	}
	return kinds
}

// During an upgrade a KILL for a session of the other process was answered as unknown, and the request ran. It is
// passed on; its reply, and those to the commands behind it, come with the answer.
func TestKillOfUnknownSessionIsPassedOn(t *testing.T) {
	for known, want := range map[bool]ReplyKind{true: ReplyOK, false: ReplyUnknownSession} {
		h, peer := newHarness(t, engine1()), &fakePeer{}
		h.broker.SetPeerProcesses(peer)
		h.apply(SessionOpened{1}, SessionAuthenticated{1})
		kill := Kill{RequestedBy: 1, Target: 99, CloseConnection: true, SentAt: startTime}
		effects := append(h.apply(kill), h.apply(Ping{Session: 1})...)
		if diff := cmp.Diff([]Kill{kill}, peer.kills); diff != "" || len(replyKinds(effects)) > 0 {
			t.Errorf("passed on %s, replies %v", diff, replyKinds(effects))
		}
		effects = append(h.apply(KillAnswered{Session: 1, Known: known}), h.apply(KillAnswered{Session: 1})...)
		if diff := cmp.Diff([]ReplyKind{want, ReplyOK}, replyKinds(effects)); diff != "" {
			t.Errorf("replies once it is answered: %s", diff)
		}
	}
}

// A KILL of this process's own sessions is not passed on, whatever their ids are in the other process.
func TestKillOfKnownSessionIsNotPassedOn(t *testing.T) {
	h, peer := newHarness(t, engine1()), &fakePeer{}
	h.broker.SetPeerProcesses(peer)
	h.apply(SessionOpened{1}, SessionAuthenticated{1})
	h.submit(2, "lookup", "", 400*ms)
	effects := h.apply(Kill{RequestedBy: 1, Target: 2, SentAt: startTime})
	if diff := cmp.Diff([]ReplyKind{ReplyOK, ReplyInterrupted}, replyKinds(effects)); diff != "" || len(peer.kills) > 0 {
		t.Errorf("replies %s, passed on %v", diff, peer.kills)
	}
}

// A client that sends KILL and closes its side gets the reply though the other process has not answered.
func TestPassedOnKillIsAnsweredWhenItsSessionEnds(t *testing.T) {
	h := newHarness(t, engine1())
	h.broker.SetPeerProcesses(&fakePeer{})
	h.apply(SessionOpened{1}, SessionAuthenticated{1})
	h.apply(Kill{RequestedBy: 1, Target: 99, SentAt: startTime})
	h.apply(Kill{RequestedBy: 1, Target: 98, SentAt: startTime})
	effects := append(h.apply(SessionHalfClosed{Session: 1}), h.apply(KillAnswered{Session: 1})...)
	if diff := cmp.Diff([]ReplyKind{ReplyOK, ReplyOK}, replyKinds(effects)); diff != "" {
		t.Error(diff)
	}
}

// A KILL that another process received ends the open request, and one that was sent before it and is read later.
func TestKillFromOtherProcess(t *testing.T) {
	h := newHarness(t, engine1())
	h.submit(1, "lookup", "", 400*ms)
	if diff := cmp.Diff([]ReplyKind{ReplyInterrupted},
		replyKinds(h.apply(PeerKill{Target: 1, SentAt: h.now + ms}))); diff != "" {
		t.Error(diff)
	}
	h.apply(SessionOpened{2}, SessionAuthenticated{2}, PeerKill{Target: 2, SentAt: h.now + ms})
	late := h.submit(2, "lookup", "", 400*ms)
	if diff := cmp.Diff([]ReplyKind{ReplyInterrupted}, replyKinds(late)); diff != "" {
		t.Errorf("a request sent before the KILL: %s", diff)
	}
	h.apply(PeerKill{Target: 1, CloseConnection: true, SentAt: h.now})
	if h.broker.HasSession(1) {
		t.Error("the session is open after KILL CONNECTION")
	}
}
