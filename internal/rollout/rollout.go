package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Version names a configuration by a hash of its content.
type Version string

// Config is what a machine keeps to.
type Config struct {
	Trial     time.Duration // a new configuration is on trial so long, if nothing speaks against it
	MostTrial time.Duration // and so long at the most, while there is too little traffic to tell
	Enough    float64       // ends of requests that are enough to tell
	Alpha     float64       // chance that one which does no harm is rolled back, at the most
	Margin    float64       // part of the requests that may end badly on top of what did before
	Ban       time.Duration // one that was rolled back is not tried again for so long; doubled with each further time
	Calm      time.Duration // adoptions are counted over this time
	MostTries int           // and so many are tried in it
}

// Standard is what a sidecar keeps to unless it is told otherwise.
func Standard() Config {
	return Config{Trial: 2 * time.Minute, MostTrial: 15 * time.Minute, Enough: 500, Alpha: 0.01, Margin: 0.01, Ban: time.Hour,
		Calm: 10 * time.Minute, MostTries: 5}
}

// z is how far up the share before may have been, in standard deviations: beyond it in one of 700 cases.
const z = 3

// Event is one thing that happened; see the types below.
type Event interface{ event() }

type (
	// Offer is a new configuration in which the checker found nothing.
	Offer struct{ Version Version }
	// Saw is what became of requests since the last such event, by class, at the configuration in force.
	Saw struct {
		Classes map[string]Counts
		Took    time.Duration
	}
	// Invalid says that a configuration that was to be put in force can't be, and that the one before still is.
	Invalid struct {
		Version Version
		Why     string
	}
)

func (Offer) event()   {}
func (Saw) event()     {}
func (Invalid) event() {}

// Action is one thing to do; see the types below.
type Action interface{ action() }

type (
	// Apply puts a configuration in force; requests in flight keep the class that they were taken under.
	Apply struct{ Version Version }
	// Note says what was decided, for the log and for status.
	Note struct {
		Version Version
		What    Outcome
		Why     string
	}
)

func (Apply) action() {}
func (Note) action()  {}

// Outcome is what became of a configuration.
type Outcome string

// The outcomes.
const (
	Tried      Outcome = "tried"
	Kept       Outcome = "kept"
	Unproven   Outcome = "kept_unproven" // there was too little traffic to tell
	RolledBack Outcome = "rolled_back"
	Refused    Outcome = "refused" // not tried
	Waits      Outcome = "waits"   // until the one on trial is decided
	Withdrawn  Outcome = "withdrawn"
)

// ban is what is remembered of one that was rolled back.
type ban struct {
	until time.Duration
	times int
}

// Machine decides for one broker. It is not safe for concurrent use.
type Machine struct {
	cfg    Config
	out    []Action
	good   Version // the last that was kept
	trial  Version // on trial; empty: none
	undone Version // rolled back or withdrawn last, and in force still should the good one turn out invalid
	next   Version // offered while one is on trial; empty: none
	began  time.Duration
	tests  map[string]*Test
	before map[string]Counts // of the good one, lately
	limits map[string]float64
	rate   float64 // ends a second before
	seen   float64 // ends on trial
	bans   map[Version]ban
	tries  []time.Duration
}

// New returns a machine with a configuration in force that is taken for good.
func New(cfg Config, good Version) *Machine {
	return &Machine{cfg: cfg, good: good, before: map[string]Counts{}, bans: map[Version]ban{}}
}

// Good is the last configuration that was kept; Trial the one on trial, or empty.
func (m *Machine) Good() Version  { return m.good }
func (m *Machine) Trial() Version { return m.trial }

// InForce is the configuration that should be in force.
func (m *Machine) InForce() Version {
	if m.trial != "" {
		return m.trial
	}
	return m.good
}

// Apply takes one event.
func (m *Machine) Apply(now time.Duration, ev Event) []Action {
	switch ev := ev.(type) {
	case Offer:
		m.offer(now, ev.Version)
	case Saw:
		m.saw(now, ev)
	case Invalid:
		m.invalid(now, ev)
	}
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) note(v Version, what Outcome, format string, args ...any) {
	m.out = append(m.out, Note{v, what, fmt.Sprintf(format, args...)})
}

// offer tries a configuration, unless one is on trial or something is held against it.
func (m *Machine) offer(now time.Duration, v Version) {
	switch {
	case v == m.InForce():
		m.next = "" // whoever offered another one before has changed its mind
	case m.trial != "" && v == m.good:
		m.next = ""
		m.end(now, Withdrawn, "the one before was offered again")
	case m.trial != "":
		m.next = v
		m.note(v, Waits, "%s is on trial", m.trial)
	case now < m.bans[v].until:
		m.note(v, Refused, "it was rolled back %d times, and is not tried for another %v", m.bans[v].times, m.bans[v].until-now)
	default:
		m.tries = slices.DeleteFunc(m.tries, func(at time.Duration) bool { return now-at >= m.cfg.Calm })
		if len(m.tries) >= m.cfg.MostTries {
			m.note(v, Refused, "%d were tried within %v", len(m.tries), m.cfg.Calm)
			return
		}
		m.tries = append(m.tries, now)
		m.begin(now, v)
	}
}

// begin puts a configuration on trial.
func (m *Machine) begin(now time.Duration, v Version) {
	m.trial, m.began, m.seen = v, now, 0
	m.tests, m.limits = map[string]*Test{}, map[string]float64{}
	m.note(v, Tried, "against %s", m.good)
	m.out = append(m.out, Apply{v})
}

// memory is the part of what was seen before that is kept when more is seen: some twenty looks count.
const memory = 0.95

// saw learns what the good one does, or judges the one on trial.
func (m *Machine) saw(now time.Duration, ev Saw) {
	ended := 0.0
	for _, c := range ev.Classes {
		ended += c.Ended
	}
	rate := 0.0
	if ev.Took > 0 {
		rate = ended / ev.Took.Seconds()
	}
	if m.trial == "" {
		for class, c := range m.before {
			m.before[class] = Counts{memory * c.Ended, memory * c.Bad}
		}
		for class, c := range ev.Classes {
			b := m.before[class]
			b.Add(c)
			m.before[class] = b
		}
		if m.rate == 0 { // the first is all that is known
			m.rate = rate
		}
		m.rate = memory*m.rate + (1-memory)*rate
		return
	}
	load := 1.0
	if m.rate > 0 {
		load = rate / m.rate
	}
	m.seen += ended
	level := float64(max(1, len(m.before))) / m.cfg.Alpha // the chance of a false alarm is shared by the classes
	for _, class := range slices.Sorted(maps.Keys(ev.Classes)) {
		c, known := ev.Classes[class], m.before[class]
		if known.Ended == 0 {
			continue // a class that is new has nothing to be compared with
		}
		t := m.tests[class]
		if t == nil {
			t = &Test{}
			m.tests[class] = t
		}
		limit := Limit(known, z, m.cfg.Margin, load)
		t.Take(c, limit)
		if t.Evidence() >= level {
			m.rollBack(now, fmt.Sprintf("%s: %.1f%% of requests ended badly of late, %.1f%% before, and %.1f%% may", class,
				100*c.Share(), 100*known.Share(), 100*limit))
			return
		}
	}
	switch took := now - m.began; {
	case took >= m.cfg.Trial && m.seen >= m.cfg.Enough:
		m.keep(now, Kept, fmt.Sprintf("%.0f requests in %v show no harm", m.seen, took))
	case took >= m.cfg.MostTrial:
		m.keep(now, Unproven, fmt.Sprintf("only %.0f requests ended in %v", m.seen, took))
	}
}

func (m *Machine) keep(now time.Duration, how Outcome, why string) {
	m.note(m.trial, how, "%s", why)
	m.good, m.trial = m.trial, ""
	m.before, m.rate = map[string]Counts{}, 0 // what is usual is learned anew
	m.goOn(now)
}

// rollBack bans the one on trial for a time and puts the good one in force again.
func (m *Machine) rollBack(now time.Duration, why string) {
	b := m.bans[m.trial]
	b.until = now + m.cfg.Ban<<min(b.times, 10)
	b.times++
	m.bans[m.trial] = b
	m.end(now, RolledBack, why)
}

// end puts the good one in force again.
func (m *Machine) end(now time.Duration, how Outcome, why string) {
	m.note(m.trial, how, "%s", why)
	m.undone, m.trial = m.trial, ""
	m.out = append(m.out, Apply{m.good})
	m.goOn(now)
}

// goOn tries what was offered meanwhile.
func (m *Machine) goOn(now time.Duration) {
	if v := m.next; v != "" {
		m.next = ""
		m.offer(now, v)
	}
}

// invalid takes that a configuration could not be put in force. Where that was the good one, the one that was on trial
// stays, as a broker must have one: it is said openly, and it is the good one from now on.
func (m *Machine) invalid(now time.Duration, ev Invalid) {
	switch {
	case ev.Version == m.trial && m.trial != "":
		v := m.trial
		m.trial = ""
		m.note(v, Refused, "it can't be put in force: %s", ev.Why)
		m.goOn(now)
	case ev.Version == m.good && m.trial == "" && m.undone != "":
		m.good, m.undone = m.undone, ""
		m.note(ev.Version, Refused, "it can't be put in force any more, and what is stays: %s", ev.Why)
	}
}
