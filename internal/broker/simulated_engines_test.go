package broker

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"wheatlane/control"
	"wheatlane/control/loadreport"
	"wheatlane/internal/changelog"
)

type simulatedEngine struct {
	changelog.Endpoint
	mode engineMode
}

// engineMode is the current behavior of a simulated engine.
type engineMode int

const (
	healthy engineMode = iota
	slow
	silent
	failing
)

type simulatedAttempt struct {
	id        AttemptID
	engine    string
	startedAt time.Duration
}

// newEngine returns another engine in service that started long ago.
func (s *simulation) newEngine() *simulatedEngine {
	s.lastEngine++
	kinds := slices.Sorted(maps.Keys(s.settings.EngineKinds))
	return &simulatedEngine{Endpoint: changelog.Endpoint{
		Engine: control.Engine{
			ID: fmt.Sprintf("engine-%03d", s.lastEngine), Zone: fmt.Sprint("zone-", s.lastEngine%3),
			Kind: kinds[s.lastEngine%len(kinds)], Cell: s.lastEngine / 4, State: control.Ready,
		},
		Addr: fmt.Sprint("10.0.0.1:", 1000+s.lastEngine),
	}}
}

func (s *simulation) modeOf(engine string) engineMode {
	for _, e := range s.engines {
		if e.ID == engine {
			return e.mode
		}
	}
	return silent
}

// serve simulates an engine that receives an attempt: the attempt succeeds or fails, or its response is lost.
func (s *simulation) serve(start StartAttempt) {
	work := s.between(3*ms, 60*ms)
	took := s.between(2*ms, 12*ms) + work
	draw := s.rng.IntN(100)
	ended := func(after time.Duration, status control.Status) {
		s.schedule(after, AttemptEnded{Attempt: start.Attempt, Status: status, Report: s.report()})
	}
	switch mode := s.modeOf(start.Engine); {
	case mode == slow:
		took *= 8
	case mode == silent:
		return
	case mode == failing && draw >= 30:
		ended(s.between(0, 5*ms), control.Failed)
		return
	}
	pages := 1
	if s.chance(30) {
		pages += s.rng.IntN(4)
	}
	served := FirstPageReceived{
		Attempt:   start.Attempt,
		PageCount: pages,
		Work:      work,
		MemoryMB:  float64(s.rng.IntN(200)),
		Report:    s.report(),
		Body:      s.rows(1 + s.rng.IntN(5)),
	}
	switch {
	case draw < 3:
		ended(s.between(0, 130*ms), control.ConnectFailed)
	case draw < 6:
		ended(s.between(0, 4*ms), control.AtCapacity)
	case draw < 8:
		ended(took, control.Failed)
	case draw < 9:
		ended(took, control.ConnectionReset)
	case draw < 10:
		ended(0, control.NeverSent)
	case draw < 12: // lost
	case draw < 14:
		s.schedule(took, s.corrupt(served, draw))
	default:
		s.schedule(took, served)
		if pages > 1 && s.chance(4) { // the engine fails between pages
			ended(took+6*ms, endsBetweenPages[s.rng.IntN(len(endsBetweenPages))])
		}
	}
}

// endsBetweenPages holds the statuses with which an attempt may end after its first page.
var endsBetweenPages = []control.Status{
	control.ConnectionReset, control.AtCapacity, control.NeverSent, control.Failed,
}

// corrupt returns an invalid first page: a malformed body or a page count out of range.
func (s *simulation) corrupt(served FirstPageReceived, draw int) FirstPageReceived {
	if draw < 13 {
		served.Body = s.invalidPage()
	} else {
		served.PageCount = s.rng.IntN(2) * 65 // the limit is 64
	}
	return served
}

// servePage simulates an engine that receives a request for a page.
func (s *simulation) servePage(p FetchPage) {
	page := PageReceived{Attempt: p.Attempt, Number: p.Page, Body: s.rows(s.rng.IntN(40))}
	after := s.between(1*ms, 15*ms)
	switch draw := s.rng.IntN(100); {
	case draw < 4: // lost
	case draw < 6:
		page.Body = s.invalidPage()
		s.schedule(after, page)
	case draw < 8:
		page.Number = s.rng.IntN(7) - 1
		s.schedule(after, page)
	case draw < 12: // twice
		s.schedule(after, page)
		s.schedule(after, page)
	default:
		s.schedule(after, page)
	}
}

func (s *simulation) answerProbe(p ProbeLoad) {
	answer := ProbeResult{ProbeID: p.ProbeID, Status: control.OK, Report: s.report()}
	switch {
	case s.modeOf(p.Engine) == silent || s.chance(5): // lost
		return
	case s.chance(5):
		answer = ProbeResult{ProbeID: p.ProbeID, Status: control.ConnectFailed}
	}
	s.schedule(s.between(ms, 20*ms), answer)
}

func (s *simulation) endAttempt(id AttemptID) {
	s.attempts = slices.DeleteFunc(s.attempts, func(a simulatedAttempt) bool { return a.id == id })
}

// rows returns a valid page of n rows.
func (s *simulation) rows(n int) []byte {
	return []byte(strings.Repeat(fmt.Sprintf("%d\tb\tc\n", s.rng.IntN(1000)), n))
}

// invalidPage returns a page with a random defect.
func (s *simulation) invalidPage() []byte {
	missingColumn, incompleteRow := []byte("a\tb\n"), []byte("a\tb\tc")
	invalidText, tooLong := []byte("a\xff\tb\tc\n"), s.rows(1500)
	return [][]byte{missingColumn, incompleteRow, invalidText, tooLong}[s.rng.IntN(4)]
}

func (s *simulation) report() loadreport.Report {
	if s.chance(10) {
		return loadreport.Report{}
	}
	return s.settings.loadReport.Report([]float64{s.rng.Float64() * 1.3, s.rng.Float64() * 4})
}
