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

// startCollector starts a carbon server that keeps what it receives, for the duration of the test.
func startCollector(t *testing.T) (*collector.Carbon, *collector.Reconciler) {
	t.Helper()
	received := collector.NewReconciler(nil)
	server, err := collector.NewCarbon("127.0.0.1:0", graphite.PathFormat{Prefix: "wheatlane"}, false, received)
	if err != nil {
		t.Fatal(err)
	}
	// It ends in a cleanup; t.Context would end before the cleanups.
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

// waitForFindings waits until a collector has received what is wanted.
func waitForFindings(t *testing.T, r *collector.Reconciler, what string, ok func(*collector.Findings) bool) {
	t.Helper()
	expired := time.After(timeout)
	for {
		changed := r.Changed()
		if ok(r.Reconcile()) {
			return
		}
		select {
		case <-changed:
		case <-expired:
			t.Fatalf("%s was not received", what)
		}
	}
}

// operatorText is an operator's configuration with a carbon server.
func operatorText(server *collector.Carbon) string {
	return fmt.Sprintf(
		`{"telemetry":{"interval_ms":1000,"graphite":[{"name":"g","address":%q}]}}`, server.Addr(),
	)
}

// newReportingProcess prepares a run of the program with an operator's configuration, and returns a function
// that replaces it.
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

func isOneRunOfN1(f *collector.Findings) bool {
	return len(f.Incarnations) == 1 && f.Incarnations[0].Broker == "n1"
}

// The program reports to a collector; at SIGHUP an invalid operator's configuration changes nothing, and a
// valid one moves the reports to another collector; at SIGTERM the last interval is sent.
func TestReportsToACollector(t *testing.T) {
	firstServer, firstReceived := startCollector(t)
	secondServer, secondReceived := startCollector(t)
	p, replace := newReportingProcess(t, operatorText(firstServer))
	p.start(t)
	p.waitForLine(t, `"serving"`)
	waitForFindings(t, firstReceived, "a first interval", isOneRunOfN1)
	for _, step := range []struct{ text, logged string }{
		{`{"telemetry":{"interval_ms":1}}`, "telemetry.interval_ms: 1 is less than 1000"},
		{operatorText(secondServer), "operator's file reloaded"},
	} {
		replace(step.text)
		p.signal(t, syscall.SIGHUP)
		p.waitForLine(t, step.logged)
	}
	waitForFindings(t, secondReceived, "an interval at the second collector", isOneRunOfN1)
	p.signal(t, syscall.SIGTERM)
	ended := p.waitForLine(t, "destination ended")
	p.waitForLine(t, `"stopped"`)
	p.waitForExit(t)
	if !strings.Contains(ended, `"lost":0`) {
		t.Errorf("at the end: %s", ended)
	}
	waitForFindings(t, secondReceived, "the last interval", func(f *collector.Findings) bool {
		return isOneRunOfN1(f) && strings.Contains(
			ended, fmt.Sprintf(`"delivered":%d,`, f.Incarnations[0].LastSequence),
		)
	})
	for _, received := range []*collector.Reconciler{firstReceived, secondReceived} {
		if f := received.Reconcile(); !f.OK() {
			t.Errorf("%v %v %v", f.Violations, f.Unknown, f.Malformed)
		}
	}
}

// A broker that is killed and restarted counts from zero, which a collector can tell from a counter that
// decreases.
func TestKilledAndRestarted(t *testing.T) {
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
		t.Fatalf("%+v", f)
	}
}
