package server

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"wheatlane/internal/broker"
	"wheatlane/internal/invariant"
)

// violationCounter counts violations by rule.
type violationCounter struct {
	nopMeter
	byRule map[invariant.Rule]int
}

func (c violationCounter) InvariantViolated(rule invariant.Rule) { c.byRule[rule]++ }

// A violation detected by the server is counted and logged. A violation detected by the reducer is only logged, as the
// reducer has counted it.
func TestViolationsAreCountedAndLogged(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	log, counter := zap.New(core), violationCounter{byRule: map[invariant.Rule]int{}}
	loop := &eventLoop{meter: counter, log: log}
	loop.reportViolation(invariant.TimeoutWithinClient, zap.String("engine", "e1"))
	(&effectExecutor{log: log}).execute(broker.InvariantViolation{
		Rule: invariant.NoSendToUnready, Session: 7, RequestID: "00ff",
	})
	if diff := cmp.Diff(map[invariant.Rule]int{invariant.TimeoutWithinClient: 1}, counter.byRule); diff != "" {
		t.Error(diff)
	}
	got := make([]map[string]any, 0, logs.Len())
	for _, line := range logs.FilterMessage("invariant violated").FilterLevelExact(zapcore.ErrorLevel).All() {
		got = append(got, line.ContextMap())
	}
	want := []map[string]any{
		{"engine": "e1", "rule": "timeout_within_client"},
		{"session": uint32(7), "request": "00ff", "rule": "no_send_to_unready"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Each transition of a request is logged at debug level, with the fields of its kind.
func TestTransitionsAreLogged(t *testing.T) {
	core, logs := observer.New(zapcore.DebugLevel)
	trace := logTransitions(zap.New(core))
	transition := broker.Transition{
		Request: 3, RequestID: "00ff", Session: 7, Class: "lookup", Since: time.Second, Attempt: 1, Engine: "e1",
	}
	for _, state := range []broker.TransitionState{
		broker.RequestAcceptedState, broker.RequestEndedState, broker.AttemptStartedState, broker.AttemptEndedState,
	} {
		transition.State = state
		trace(transition)
	}
	got := map[string][]string{}
	for _, line := range logs.All() {
		if line.Level != zapcore.DebugLevel {
			t.Errorf("%s is logged at %s", line.Message, line.Level)
		}
		for _, field := range line.Context[5:] { // after the fields of all lines
			got[line.Message] = append(got[line.Message], field.Key)
		}
	}
	want := map[string][]string{
		"request ended":   {"cause"},
		"attempt started": {"attempt", "engine"},
		"attempt ended":   {"attempt", "engine", "status"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
