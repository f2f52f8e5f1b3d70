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

// options are those of the runs.
type options struct {
	seed     uint64
	seeds    int
	duration time.Duration
	brokers  int
	engines  int
	clients  int // processes
	rate     float64
	shims    bool
	logs     string // folder for logs; empty: none are kept
	verbose  bool
}

// soak is one run of a seed.
type soak struct {
	options options
	hedging bool
	// processes bounds the life of all processes. Faults, whose own context ends before the run does, start
	// engines that must outlive them.
	processes context.Context
	source    *pacing.Source
	changes   *changelogserver.ChangeLog
	brokers   []*brokerSlot
	engines   []*engineProcess
	clients   []*process
	proxies   []*proxy

	mu         sync.Mutex // guards what follows
	history    *history
	taken      map[string]bool // by name: brokers, engines and the change log that a fault holds
	findings   []string
	violations map[string]int // that brokers reported of themselves, by rule
	faultLog   []string
	startedAt  time.Time
}

func (s *soak) draw(n int) int { return s.source.IntN(n) }

func (s *soak) drawDuration(limit time.Duration) time.Duration { return s.source.Duration(limit) }

// holding calls f while a name is reserved for it. It does nothing if another fault has the name.
func (s *soak) holding(name string, f func() error) error {
	if !s.take(name) {
		return nil
	}
	defer s.release(name)
	return f()
}

// take reserves a name and reports whether it was free.
func (s *soak) take(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.taken[name] {
		return false
	}
	s.taken[name] = true
	return true
}

func (s *soak) release(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.taken, name)
}

// note adds to the history.
func (s *soak) note(f func(*history)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.history)
}

func (s *soak) report(event Event) { s.note(func(h *history) { h.events = append(h.events, event) }) }

func (s *soak) noteTerm(broker *brokerSlot) {
	s.note(func(h *history) { h.brokerTerms[broker.listen] = append(h.brokerTerms[broker.listen], time.Now()) })
}

func (s *soak) noteDelay(engine *engineProcess, from time.Time) {
	s.note(func(h *history) {
		h.engineDelays[engine.id] = append(h.engineDelays[engine.id], span{from, time.Now()})
	})
}

// find adds a finding that does not come from the judge.
func (s *soak) find(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findings = append(s.findings, fmt.Sprintf(format, args...))
}

func (s *soak) logFault(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultLog = append(s.faultLog, fmt.Sprintf("%.1f %s", time.Since(s.startedAt).Seconds(), name))
}

// publish adds an event of an engine to the change log.
func (s *soak) publish(engine *engineProcess, health string, bornMS int64) {
	s.changes.Publish(changelogserver.Endpoint{
		ID: engine.id, Addr: engine.proxy.addr, Site: "east", Class: "std-8core", Share: 4, Health: health, BornMS: bornMS,
	})
}

// run plays a seed and returns the verdict.
func run(ctx context.Context, program, dir string, settings options) (verdict, *soak, error) {
	s := &soak{
		options:    settings,
		hedging:    settings.seed%2 == 0,
		source:     pacing.NewSource(settings.seed, faultStream),
		history:    newHistory(),
		taken:      map[string]bool{},
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
	err := s.runFaults(faultCtx)
	s.endRun()
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.history.judge()
	found.findings = append(s.findings, found.findings...)
	return found, s, err
}

// brokerLine takes a line of a broker's log.
func (s *soak) brokerLine(broker *brokerSlot, line []byte) {
	text := string(line)
	if broker.log != nil {
		_, _ = fmt.Fprintln(broker.log, text) // a log is a help, and no part of the verdict
	}
	var parsed struct{ Msg, Rule string }
	switch {
	case json.Unmarshal(line, &parsed) == nil && parsed.Msg == "invariant violated":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.violations[parsed.Rule]++
	case strings.HasPrefix(text, "panic:") || strings.Contains(text, "DATA RACE") || strings.HasPrefix(text, "fatal"):
		s.find("%s: %s", broker.name, text)
	}
}

// errFindings ends the program when a seed had findings.
var errFindings = errors.New("rules were broken")
