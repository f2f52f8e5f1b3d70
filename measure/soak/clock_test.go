package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const (
	clockStepAt   = time.Second // after the start of the process
	requestsAfter = 5
)

// Guards against deadlines, batches or timers that depend on the wall clock: a broker whose wall clock steps must
// continue to answer. A shim of the standard library in the program makes the step.
func TestRequestsAreAnsweredAcrossClockSteps(t *testing.T) {
	t.Parallel()
	for _, step := range []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			testClockStep(t, step)
		})
	}
}

func testClockStep(t *testing.T, step time.Duration) {
	t.Helper()
	steps := fmt.Sprintf("%s=%d:%d", clockStepsVariable, clockStepAt.Milliseconds(), step.Milliseconds())
	b, log := startTestBroker(t, steps)
	startedAt := time.Now()
	for n := 0; time.Since(startedAt) < clockStepAt+clockStepAt/10; n++ {
		expectAnswer(t, b.listen, n)
	}
	for n := range requestsAfter {
		expectAnswer(t, b.listen, 1<<20+n)
	}
	if err := b.terminate(b.current()); err != nil {
		t.Error(err)
	}
	log.expectNone(t, "invariant violated")
}

// A shim that does not match the installed library must fail the build, rather than result in a program without faults.
func TestPatchFailsWithoutMatchingLine(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "a.go"), []byte("package a\n"), filePerm); err != nil {
		t.Fatal(err)
	}
	p := patch{file: "a.go", edits: []edit{{after: "func A() {", insert: "	return"}}}
	if _, err := p.apply(dir); err == nil || !strings.Contains(err.Error(), "does not fit") {
		t.Fatalf("apply: got error %v, want it to contain \"does not fit\"", err)
	}
}
