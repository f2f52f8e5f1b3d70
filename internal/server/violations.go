package server

import (
	"go.uber.org/zap"

	"wheatlane/internal/invariant"
)

// logViolation logs a violation of an invariant. The caller counts it.
func logViolation(log *zap.Logger, rule invariant.Rule, fields ...zap.Field) {
	log.Error("invariant violated", append(fields, zap.Stringer("rule", rule))...)
}
