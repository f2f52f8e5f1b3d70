package server

import (
	"go.uber.org/zap"

	"wheatlane/internal/broker"
	"wheatlane/internal/invariant"
)

// violated counts and logs that a rule would have been, or was, broken. It runs in the loop.
func (s *Server) violated(rule invariant.Rule, fields ...zap.Field) {
	s.meter.InvariantViolated(rule)
	s.logViolation(rule, fields...)
}

// logViolation logs a violation that was counted.
func (s *Server) logViolation(rule invariant.Rule, fields ...zap.Field) {
	s.log.Error("invariant violated", append(fields, zap.Stringer("rule", rule))...)
}

// logReducerViolation logs a violation that the reducer counted.
func (s *Server) logReducerViolation(v broker.InvariantViolation) {
	s.logViolation(v.Rule, zap.Uint32("session", uint32(v.Session)), zap.String("request", v.RequestID))
}

// logTransition writes a line at debug level for each transition of a request, so that a request can be
// followed by its ids.
func (s *Server) logTransition(t broker.Transition) {
	fields := []zap.Field{
		zap.Uint64("number", t.Request), zap.String("request", t.RequestID), zap.String("class", t.Class),
		zap.Uint32("session", uint32(t.Session)), zap.Duration("since", t.Since),
	}
	switch t.State {
	case broker.RequestAcceptedState:
	case broker.RequestEndedState:
		fields = append(fields, zap.Stringer("cause", t.Cause))
	case broker.AttemptStartedState:
		fields = append(fields, zap.Int("attempt", t.Attempt), zap.String("engine", t.Engine))
	case broker.AttemptEndedState:
		fields = append(fields, zap.Int("attempt", t.Attempt), zap.String("engine", t.Engine),
			zap.Stringer("status", t.Status))
	}
	s.log.Debug(string(t.State), fields...)
}
