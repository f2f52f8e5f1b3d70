package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"wheatlane/internal/emulator/changelogserver"
	"wheatlane/internal/emulator/pacing"
)

// options configures the runs.
type options struct {
	seed     uint64        // first seed
	seeds    int           // number of seeds
	duration time.Duration // of the faults of a seed
	brokers  int           // processes
	engines  int           // processes
	clients  int           // processes
	rate     float64       // sessions a second for each client process
	shims    bool          // inject system call faults and clock steps into brokers
	logs     string        // folder for the brokers' logs; empty: none are written
	verbose  bool
}

// soak is the run of one seed.
type soak struct {
	options    options
	hedging    bool
	deployment deployment
	// processes bounds the lifetime of all processes. The context of the faults ends before the run does, and the
	// engines that faults start must outlive it.
	processes context.Context
	source    *pacing.Source
	changes   *changelogserver.ChangeLog
	brokers   []*brokerSlot
	engines   []*engineProcess
	clients   []*process
	proxies   []*proxy

	mu         sync.Mutex // guards the fields below
	history    *history
	reserved   map[string]bool // names of brokers, engines and the change log that a fault is using
	findings   []string
	violations map[string]int // invariant violations that brokers logged, by rule
	faultLog   []string
	startedAt  time.Time
}

func (s *soak) draw(n int) int { return s.source.IntN(n) }

func (s *soak) drawDuration(limit time.Duration) time.Duration { return s.source.Duration(limit) }

// withReservation calls f while a name is reserved. It returns nil without calling f if another fault has reserved the
// name.
func (s *soak) withReservation(name string, f func() error) error {
	if !s.reserve(name) {
		return nil
	}
	defer s.release(name)
	return f()
}

// reserve reserves a name and reports whether it was free.
func (s *soak) reserve(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reserved[name] {
		return false
	}
	s.reserved[name] = true
	return true
}

func (s *soak) release(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reserved, name)
}

// updateHistory calls f with the history while mu is held.
func (s *soak) updateHistory(f func(*history)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.history)
}

func (s *soak) report(event Event) {
	s.updateHistory(func(h *history) { h.events = append(h.events, event) })
}

// recordTerm records that a broker is about to receive SIGTERM.
func (s *soak) recordTerm(broker *brokerSlot) {
	s.updateHistory(func(h *history) { h.brokerTerms[broker.listen] = append(h.brokerTerms[broker.listen], time.Now()) })
}

// recordEngineDelay records that a fault delayed an engine since from.
func (s *soak) recordEngineDelay(engine *engineProcess, from time.Time) {
	s.updateHistory(func(h *history) {
		h.engineDelays[engine.id] = append(h.engineDelays[engine.id], span{from, time.Now()})
	})
}

// addFinding adds a finding that does not come from the verifier.
func (s *soak) addFinding(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findings = append(s.findings, fmt.Sprintf(format, args...))
}

func (s *soak) logFault(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultLog = append(s.faultLog, fmt.Sprintf("%.1f %s", time.Since(s.startedAt).Seconds(), name))
}

// publish adds an event for an engine to the change log.
func (s *soak) publish(engine *engineProcess, health string, bornMS int64) {
	s.changes.Publish(changelogserver.Endpoint{
		ID: engine.id, Addr: engine.proxy.addr, Site: "east", Class: "std-8core", Share: 4, Health: health, BornMS: bornMS,
	})
}

// run runs one seed and returns its verdict.
func run(ctx context.Context, program, dir string, settings options) (verdict, *soak, error) {
	s := &soak{
		options:    settings,
		hedging:    settings.seed%2 == 0,
		deployment: deploymentOf(settings.seed),
		source:     pacing.NewSource(settings.seed, faultStream),
		history:    newHistory(),
		reserved:   map[string]bool{},
		violations: map[string]int{},
		startedAt:  time.Now(),
	}
	processes, endProcesses := context.WithCancel(ctx)
	defer endProcesses()
	s.processes = processes
	defer s.endAll()
	if err := s.startAll(program, dir); err != nil {
		return verdict{}, s, err
	}
	faultCtx, endFaults := context.WithTimeout(ctx, settings.duration)
	defer endFaults()
	s.startCrowds(faultCtx)
	err := s.runFaults(faultCtx)
	s.endRun()
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.history.verify()
	found.findings = append(s.findings, found.findings...)
	return found, s, err
}

// processBrokerLine writes a line of a broker's output to its log file, counts logged invariant violations by rule, and
// adds panics, data races and fatal errors to the findings.
func (s *soak) processBrokerLine(broker *brokerSlot, line []byte) {
	text := string(line)
	if broker.log != nil {
		_, _ = fmt.Fprintln(broker.log, text) // the log file is a debugging aid; the verdict does not depend on it
	}
	var parsed struct{ Msg, Rule string }
	switch {
	case json.Unmarshal(line, &parsed) == nil && parsed.Msg == "invariant violated":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.violations[parsed.Rule]++
	case strings.HasPrefix(text, "panic:") || strings.Contains(text, "DATA RACE") || strings.HasPrefix(text, "fatal"):
		s.addFinding("%s: %s", broker.name, text)
	}
}

// errFindings reports that a seed had findings.
var errFindings = errors.New("rules were broken")
