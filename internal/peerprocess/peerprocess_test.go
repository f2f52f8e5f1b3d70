package peerprocess

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// openBoth returns two processes of a broker, on one clock that the returned function advances.
func openBoth(t *testing.T) (previous, next *Processes, advance func(time.Duration)) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "processes")
	now := time.Hour
	clock := func() time.Duration { return now }
	both := make([]*Processes, 2)
	for i := range both {
		words, err := mapWords(path)
		if err != nil {
			t.Fatal(err)
		}
		both[i] = &Processes{words: words, now: clock}
		if !both[i].join() {
			t.Fatal("there is no place for the process")
		}
	}
	return both[0], both[1], func(d time.Duration) { now += d }
}

// receive returns the kills that a process receives, for sessions that it knows or not.
func receive(p *Processes, known bool) (kills []Kill) {
	p.Receive(func(kill Kill) bool {
		kills = append(kills, kill)
		return known
	})
	return kills
}

// Two processes assigned the same session ids, and a KILL that reached the wrong one ended a foreign query.
func TestProcessesAssignDifferentSessions(t *testing.T) {
	previous, next, _ := openBoth(t)
	const first = 1<<32 - 3
	got := []uint32{
		previous.NextSession(first), next.NextSession(first), previous.NextSession(first), next.NextSession(first),
	}
	if diff := cmp.Diff([]uint32{first + 1, first + 2, 1, 2}, got); diff != "" {
		t.Error(diff)
	}
}

// A kill reaches the other process, whichever sends it, and the answer comes back.
func TestKillReachesOtherProcess(t *testing.T) {
	previous, next, _ := openBoth(t)
	for _, direction := range []struct{ from, to *Processes }{{previous, next}, {next, previous}} {
		for known, want := range map[bool]Answer{true: Known, false: Unknown} {
			kill := Kill{Target: 1<<32 - 1, CloseConnection: known, SentAt: time.Minute}
			sent, ok := direction.from.Send(kill)
			if !ok || sent.Answer() != Pending {
				t.Fatal("the kill was not sent, or is answered already")
			}
			if diff := cmp.Diff([]Kill{kill}, receive(direction.to, known)); diff != "" {
				t.Error(diff)
			}
			if own := receive(direction.from, true); len(own) > 0 {
				t.Errorf("a process received its own kill: %v", own)
			}
			if got := sent.Answer(); got != want {
				t.Errorf("answer %v, want %v", got, want)
			}
		}
	}
}

// A process that has ended, or is held up, is not waited for.
func TestAnswerDoesNotWaitForEndedProcess(t *testing.T) {
	for name, end := range map[string]func(previous *Processes, advance func(time.Duration)){
		"left":   func(previous *Processes, _ func(time.Duration)) { previous.Leave() },
		"killed": func(_ *Processes, advance func(time.Duration)) { advance(maxHeartbeatAge + 1) },
	} {
		t.Run(name, func(t *testing.T) {
			previous, next, advance := openBoth(t)
			sent, _ := next.Send(Kill{Target: 1})
			end(previous, advance)
			next.Beat()
			if got := sent.Answer(); got != Unknown {
				t.Errorf("answer %v, want %v", got, Unknown)
			}
			if _, ok := next.Send(Kill{Target: 1}); ok {
				t.Error("a kill was sent though there is no other process")
			}
		})
	}
}

// A process that is held up until kills were overwritten receives the others, and one that comes receives none of those
// that were sent before.
func TestReceiverGetsNewestKills(t *testing.T) {
	previous, next, _ := openBoth(t)
	for target := range uint32(ringKills + 10) {
		if _, ok := next.Send(Kill{Target: target}); !ok {
			t.Fatal("not sent")
		}
	}
	got := receive(previous, true)
	if len(got) != ringKills || got[0].Target != 10 {
		t.Errorf("%d kills received, the first one for %d", len(got), got[0].Target)
	}
	if again := receive(previous, true); len(again) > 0 {
		t.Errorf("received twice: %v", again)
	}
}

// The place of a process that was killed is taken by another one, and the file has place for no more than it can count.
func TestPlacesOfEndedProcessesAreTaken(t *testing.T) {
	path := filepath.Join(t.TempDir(), "processes")
	for range 2 {
		for range maxProcesses {
			p, err := Open(path)
			if err != nil {
				t.Fatal(err)
			}
			defer p.Leave()
		}
		if _, err := Open(path); err == nil {
			t.Fatal("one more process has a place")
		}
		for i := range maxProcesses {
			p := Processes{index: i}
			p.words, _ = mapWords(path)
			p.Leave()
		}
	}
}
