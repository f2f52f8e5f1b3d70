package server

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"wheatlane/control/outlier"
	"wheatlane/internal/broker"
	"wheatlane/internal/broker/resultpages"
)

// Effects about an engine's state are logged at info level, with the engine and the reason as fields.
func TestEngineEffectsAreLogged(t *testing.T) {
	t.Parallel()
	for message, c := range map[string]struct {
		effect broker.Effect
		fields map[string]any
	}{
		"engine ejected": {
			broker.EngineEjected{Engine: "e1", Reason: outlier.Unreachable},
			map[string]any{"engine": "e1", "reason": "unreachable"},
		},
		"engine restored": {broker.EngineRestored{Engine: "e1"}, map[string]any{"engine": "e1"}},
		"result page invalid": {
			broker.ResultInvalid{Engine: "e1", Err: resultpages.ErrPageTimeout},
			map[string]any{"engine": "e1", "reason": "timeout of a page of a result"},
		},
	} {
		t.Run(message, func(t *testing.T) {
			t.Parallel()
			core, logs := observer.New(zapcore.InfoLevel)
			(&effectExecutor{log: zap.New(core)}).execute(c.effect)
			entries := logs.All()
			if len(entries) != 1 || entries[0].Message != message || entries[0].Level != zapcore.InfoLevel {
				t.Fatalf("logged %v, want one line %q at info level", entries, message)
			}
			if diff := cmp.Diff(c.fields, entries[0].ContextMap()); diff != "" {
				t.Error(diff)
			}
		})
	}
}
