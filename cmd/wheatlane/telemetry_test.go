package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"wheatlane/internal/emulator/collector"
	"wheatlane/internal/graphite"
)

// startCollector runs a carbon server, and a reconciler of the samples that it receives, until the end of the test.
func startCollector(t *testing.T) (*collector.Carbon, *collector.Reconciler) {
	t.Helper()
	received := collector.NewReconciler(nil)
	server, err := collector.NewCarbon("127.0.0.1:0", graphite.PathFormat{Prefix: "wheatlane"}, false, received)
	if err != nil {
		t.Fatal(err)
	}
	// The server ends in a cleanup: t.Context would end before other cleanups.
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return server, received
}

// waitForFindings waits until the findings of a collector satisfy ok; description names the expected data.
func waitForFindings(t *testing.T, r *collector.Reconciler, description string, ok func(*collector.Findings) bool) {
	t.Helper()
	expired := time.After(testTimeout)
	for {
		changed := r.Changed()
		if ok(r.Reconcile()) {
			return
		}
		select {
		case <-changed:
		case <-expired:
			t.Fatalf("%s was not received within %v", description, testTimeout)
		}
	}
}

// operatorText returns an operator's configuration that sends metrics to a carbon server.
func operatorText(server *collector.Carbon) string {
	return fmt.Sprintf(
		`{"telemetry":{"interval_ms":1000,"graphite":[{"name":"g","address":%q}]}}`, server.Addr(),
	)
}

// newReportingProcess prepares a process with an operator's configuration, and returns a function that replaces the
// configuration.
func newReportingProcess(t *testing.T, operatorText string) (p *process, replace func(text string)) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.json")
	replace = func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	replace(operatorText)
	p = newProcess(t, validSettings)
	p.Args = append(p.Args, "--operator", path)
	return p, replace
}

// isSingleIncarnationOfN1 reports whether all samples are from one incarnation of the broker n1.
func isSingleIncarnationOfN1(f *collector.Findings) bool {
	return len(f.Incarnations) == 1 && f.Incarnations[0].Broker == "n1"
}

// The program sends metrics to a collector. At SIGHUP an invalid operator's configuration is ignored, and a valid one
// redirects the metrics to another collector; at SIGTERM the last interval is sent.
func TestMetricsAreSentToCollector(t *testing.T) {
	firstServer, firstReceived := startCollector(t)
	secondServer, secondReceived := startCollector(t)
	p, replace := newReportingProcess(t, operatorText(firstServer))
	p.start(t)
	p.waitForLine(t, `"serving"`)
	waitForFindings(t, firstReceived, "a first interval", isSingleIncarnationOfN1)
	for _, step := range []struct{ text, logged string }{
		{`{"telemetry":{"interval_ms":1}}`, "telemetry.interval_ms: 1 is less than 1000"},
		{operatorText(secondServer), "operator's file reloaded"},
	} {
		replace(step.text)
		p.signal(t, syscall.SIGHUP)
		p.waitForLine(t, step.logged)
	}
	waitForFindings(t, secondReceived, "an interval at the second collector", isSingleIncarnationOfN1)
	p.signal(t, syscall.SIGTERM)
	endLine := p.waitForLine(t, "destination ended")
	p.waitForLine(t, `"stopped"`)
	p.waitForExit(t)
	if !strings.Contains(endLine, `"lost":0`) {
		t.Errorf("intervals were lost: %s", endLine)
	}
	waitForFindings(t, secondReceived, "the last interval", func(f *collector.Findings) bool {
		return isSingleIncarnationOfN1(f) && strings.Contains(
			endLine, fmt.Sprintf(`"delivered":%d,`, f.Incarnations[0].LastSequence),
		)
	})
	for _, received := range []*collector.Reconciler{firstReceived, secondReceived} {
		if f := received.Reconcile(); !f.OK() {
			t.Errorf("violations %v, unknown metrics %v, malformed samples %v", f.Violations, f.Unknown, f.Malformed)
		}
	}
}

// A broker that is killed and restarted counts from zero. A collector must distinguish that from a counter that
// decreases, by the incarnation.
func TestRestartIsReportedAsNewIncarnation(t *testing.T) {
	server, received := startCollector(t)
	for incarnation := range 2 {
		p, _ := newReportingProcess(t, operatorText(server))
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		waitForFindings(t, received, "an interval", func(f *collector.Findings) bool {
			return len(f.Incarnations) == incarnation+1
		})
		p.kill(t)
	}
	if f := received.Reconcile(); !f.OK() || f.Incarnations[0].StartedMS >= f.Incarnations[1].StartedMS {
		t.Fatalf("got %+v, want two incarnations in ascending order without violations", f)
	}
}
