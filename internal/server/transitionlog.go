package server

import (
	"go.uber.org/zap"

	"wheatlane/internal/broker"
)

// logTransitions returns a tracer that logs each transition of a request at debug level, so that a request can be
// traced by its number and id.
func logTransitions(log *zap.Logger) func(broker.Transition) {
	return func(t broker.Transition) {
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
		log.Debug(string(t.State), fields...)
	}
}
