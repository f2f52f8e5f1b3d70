package server

import (
	"testing"
	"time"

	"wheatlane/control"
)

// The time until the final answers follows the longest client timeout, which counts up to a bound.
func TestAnswerWindow(t *testing.T) {
	for name, tt := range map[string]struct {
		timeouts []time.Duration
		want     time.Duration
	}{
		"no class":         {nil, 3450 * time.Millisecond},
		"the longest":      {[]time.Duration{100 * time.Millisecond, time.Second}, 1450 * time.Millisecond},
		"beyond the bound": {[]time.Duration{time.Minute}, 3450 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			classes := make([]control.Class, 0, len(tt.timeouts))
			for _, timeout := range tt.timeouts {
				classes = append(classes, control.Class{ClientTimeout: timeout})
			}
			if got := newGracefulShutdown(time.Now(), classes).answerWithin; got != tt.want {
				t.Errorf("final answers come after %v, want %v", got, tt.want)
			}
		})
	}
}

// shutdownIteration is a round of the loop in a shutdown, and the steps that it takes.
type shutdownIteration struct {
	after    time.Duration // the request
	progress shutdownProgress
	steps    []shutdownStep
}

// A shutdown goes on to its next step as soon as it may, takes each once, and ends ahead of SIGKILL where clients do
// not leave.
func TestGracefulShutdownSteps(t *testing.T) {
	const answerWithin, acceptWindow = 3450 * time.Millisecond, time.Second
	open, idle := shutdownProgress{openRequests: 1, clients: 1}, shutdownProgress{clients: 1}
	read := shutdownProgress{clients: 1, allRead: true}
	for name, rounds := range map[string][]shutdownIteration{
		"in order": {
			{acceptWindow - 1, read, []shutdownStep{shutdownWait}},
			{acceptWindow, open, []shutdownStep{shutdownBeginFinalReads, shutdownWait}},
			{acceptWindow + 1, idle, []shutdownStep{shutdownWait}},
			{acceptWindow + 2, read, []shutdownStep{shutdownCloseSessions, shutdownWait}},
			{acceptWindow + 3, shutdownProgress{allRead: true}, []shutdownStep{shutdownExit}},
		},
		"all at once": {
			{acceptWindow, shutdownProgress{allRead: true}, []shutdownStep{
				shutdownBeginFinalReads, shutdownCloseSessions, shutdownExit,
			}},
		},
		"a client stays": {
			{acceptWindow, read, []shutdownStep{shutdownBeginFinalReads, shutdownCloseSessions, shutdownWait}},
			{answerWithin + finalFlushTimeout - 1, read, []shutdownStep{shutdownWait}},
			{answerWithin + finalFlushTimeout, read, []shutdownStep{shutdownExit}},
		},
		"a request stays open": {
			{acceptWindow, open, []shutdownStep{shutdownBeginFinalReads, shutdownWait}},
			{answerWithin + finalFlushTimeout, open, []shutdownStep{shutdownWait}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			requestedAt := time.Now()
			shutdown := newGracefulShutdown(requestedAt, nil)
			for i, round := range rounds {
				for _, want := range round.steps {
					if got := shutdown.next(requestedAt.Add(round.after), round.progress); got != want {
						t.Errorf("round %d: step %d, want %d", i, got, want)
					}
				}
			}
		})
	}
}
