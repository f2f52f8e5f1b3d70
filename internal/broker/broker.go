package broker

import (
	"bytes"
	"container/heap"
	"maps"
	"slices"
	"strconv"
	"time"
	"unicode/utf8"

	"wheatlane/control"
	"wheatlane/internal/changelog"
)

const (
	// MaxResultBytes is the largest result, in bytes of its pages together.
	MaxResultBytes = 48000
	columns        = 3    // of every row
	mostPage       = 6000 // bytes
	mostPages      = 64   // engines fill them: two that follow each other hold more than one has room for

	pageTimeout  = 500 * time.Millisecond // for each page: a silent engine is given up after it
	probeTimeout = 250 * time.Millisecond
	allowSlack   = time.Second           // clients give up within their class's time; more than that is no figure of theirs
	settle       = 10 * time.Millisecond // a word to an engine is there by then
	lastWay      = 12 * time.Millisecond // a request's way here and its answer's back take no longer, both processes' delays included
	lastPart     = 0.15                  // of a client's wait is the most that is kept for them
	stopping     = "the broker is stopping"
)

// Broker is the reducer. It is not safe for concurrent use.
type Broker struct {
	decide    *control.Controller
	round     time.Duration
	lastRound time.Duration
	pending   []control.Event
	out       []Effect
	freed     []Session // those answered by what is being carried out; what waited there goes on after that

	sessions sessions
	requests map[uint64]*request
	refs     map[string]bool // the clients' ids of requests
	nextID   uint64
	open     int // requests that are owed an answer

	engines map[string]changelog.Endpoint
	copies  bool            // two attempts of a request may be out at once
	ready   int             // engines in service and not left out
	bans    map[string]bool // engines left out by hand
	listed  map[string]bool // engines that were ever listed, as far as is kept
	view    control.View
	seq     int64

	probes      map[uint64]probe
	trains      map[string]*train // by order key
	sweepTrains int               // so many trains, and those that are over go
	classes     map[string]control.Class
	longest     map[string]time.Duration // the longest deadline that each class ever had
	tenants     map[string]bool
	timers      timers
	ordinal     uint64
	stopped     bool
	ending      bool // the last answers were given: what comes now is refused
	meter       Meter
}

type request struct {
	Request
	id       uint64
	name     string // id as the module knows it
	session  Session
	taken    time.Duration
	over     bool // answered, or its client is gone
	deadline time.Duration
	grantMB  float64
	priority int
	class    control.Class // as it was when the request was taken
	attempts []*attempt
}

type attempt struct {
	id      AttemptID
	r       *request
	engine  string
	sent    time.Duration
	out     bool
	ran     bool           // it may have run
	won     bool           // its answer is the client's
	ending  control.Status // how it ends once its engine has been told; OK while it is not being given up
	served  *AttemptServed
	pages   [][]byte
	missing int
	size    int
}

type probe struct {
	engine string
	sent   time.Duration
}

// New returns a broker that knows no engines yet and keeps so many sessions at the most.
func New(set control.Settings, seed uint64, mostSessions int) (*Broker, error) {
	c, err := control.New(set, seed)
	if err != nil {
		return nil, err
	}
	b := &Broker{decide: c, round: set.MinBatchInterval, copies: set.Limits.Hedging, sessions: newSessions(mostSessions), requests: map[uint64]*request{}, refs: map[string]bool{},
		engines: map[string]changelog.Endpoint{}, bans: map[string]bool{}, listed: map[string]bool{}, probes: map[uint64]probe{}, trains: map[string]*train{},
		classes: map[string]control.Class{}, longest: map[string]time.Duration{}, tenants: map[string]bool{}, sweepTrains: fewTrains, meter: NopMeter{}}
	b.setClasses(set.Classes)
	for _, t := range set.Tenants {
		b.tenants[t.Name] = true
	}
	return b, nil
}

// LastRevision is the number of the last change taken.
func (b *Broker) LastRevision() int64 { return b.seq }

// OpenRequests is the number of requests that are owed an answer.
func (b *Broker) OpenRequests() int { return b.open }

// NextDeadline is the time at which Tick has something to do; ok is false if there is nothing.
func (b *Broker) NextDeadline() (at time.Duration, ok bool) {
	if len(b.pending) > 0 {
		at, ok = b.lastRound+b.round, true
	}
	if len(b.timers) > 0 && (!ok || b.timers[0].at < at) {
		at, ok = b.timers[0].at, true
	}
	return at, ok
}

// Tick fires what is due and, if the last round is long enough ago, hands what has happened to the module.
func (b *Broker) Tick(now time.Duration) []Effect {
	for len(b.timers) > 0 && b.timers[0].at <= now {
		heap.Pop(&b.timers).(timer).fire(now)
	}
	if len(b.pending) > 0 && now >= b.lastRound+b.round {
		b.lastRound = now
		events := b.pending
		b.pending = nil
		// Requests read late in one go are taken in the order in which they were sent: those of one key must
		// run in that order, on whichever connections they came.
		inOrder(events)
		for _, a := range b.decide.Handle(now, events) {
			b.act(now, a)
		}
	}
	b.goOn(now)
	return b.take()
}

// goOn lets the sessions that were answered go on with what came ahead of their answers. Guards against a word that
// waited so and ends a request that the same round of the module sends: the module would wait for that attempt's end.
func (b *Broker) goOn(now time.Duration) {
	for len(b.freed) > 0 {
		id := b.freed[0]
		b.freed = b.freed[1:]
		b.idle(now, id)
	}
}

// inOrder sorts the arrivals among events by the time they were sent; all else keeps its place.
func inOrder(events []control.Event) {
	var places []int
	var arrivals []arrival
	for i, ev := range events {
		if a, ok := ev.(arrival); ok {
			places, arrivals = append(places, i), append(arrivals, a)
		}
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.sent - b.sent) })
	for i, at := range places {
		events[at] = arrivals[i].RequestReceived
	}
}

// arrival is a control.Arrival with the time at which it was sent, until its round.
type arrival struct {
	control.RequestReceived
	sent time.Duration
}

func (b *Broker) take() []Effect {
	out := b.out
	b.out = nil
	return out
}

func (b *Broker) do(e Effect)           { b.out = append(b.out, e) }
func (b *Broker) tell(ev control.Event) { b.pending = append(b.pending, ev) }

// reply answers a session. A result and what is no answer to a request are not turned away.
func (b *Broker) reply(s Session, r Reply) {
	r.Session = s
	if r.Kind != ReplyResult && r.Kind != ReplyOK && r.Kind != ReplyFailed {
		b.meter.RequestRejected(r.Kind)
	}
	b.do(r)
}

func (b *Broker) after(at time.Duration, fire func(now time.Duration)) {
	b.ordinal++
	heap.Push(&b.timers, timer{at, b.ordinal, fire})
}

// Apply takes one event.
func (b *Broker) Apply(now time.Duration, ev Event) []Effect {
	switch ev := ev.(type) {
	case SessionOpened:
		b.connected(now, ev.Session)
	case SessionAuthenticated:
		b.loggedIn(now, ev.Session)
	case SubmitRequest:
		b.command(now, ev.Session, ev)
	case Ping:
		b.command(now, ev.Session, ev)
	case Kill:
		b.command(now, ev.RequestedBy, ev)
	case InvalidRequest:
		b.command(now, ev.Session, ev)
	case SessionClosed:
		b.sessionEnds(now, ev.Session)
	case SessionHalfClosed:
		b.halfClosed(now, ev.Session)
	case AttemptServed:
		b.served(now, ev)
	case PageReceived:
		b.page(now, ev)
	case AttemptEnded:
		b.ended(now, ev)
	case ProbeResult:
		b.probed(now, ev)
	case GossipReceived:
		b.tell(control.GossipReceived{Broker: ev.Broker, Reports: ev.Reports})
	case EndpointChanges:
		b.changes(ev.Page)
	case Shutdown:
		b.stopped = true
		b.after(now+ev.Within, b.lastWords)
	case SendFinalAnswers:
		b.lastWords(now)
	case StartMaintenance:
		b.ban(ev.Engine, true)
	case EndMaintenance:
		b.ban(ev.Engine, false)
	case RestoreMaintenance:
		b.restore(ev.Engines)
	case UpdateSettings:
		b.retune(ev.Settings)
	}
	b.goOn(now)
	return b.take()
}

// submit takes a request, or answers it at once; false if its fields can't be used.
func (b *Broker) submit(now time.Duration, s *session, ev SubmitRequest) bool {
	k, known := b.classes[ev.Request.Class]
	bad := ""
	switch {
	case !known:
		bad = "no such class"
	case len(b.tenants) > 0 && !b.tenants[ev.Request.Tenant]:
		bad = "no such tenant"
	case k.ClientTimeout > 0 && ev.Request.Timeout > b.longest[ev.Request.Class]+allowSlack:
		bad = "the class has no such time to wait"
	case k.Idempotency == control.IdempotentWithKey && ev.Request.IdempotencyKey == "":
		// Without it an engine could not drop a repeat, and the effect might come twice.
		bad = "the class needs an idempotency key"
	case b.refs[ev.Request.RequestID]:
		// Guards against an answer that passes for another's, as engines know a request by this id alone.
		bad = "the id of the request is in use"
	}
	switch {
	case bad != "":
		b.reply(ev.Session, Reply{Kind: ReplyInvalidFields, Text: bad})
		return false
	case ev.Request.SentAt < s.killed:
		// Guards against a request that goes on for a client that has left: its query and the word that kills it come
		// on two connections, and may be read in the other order.
		b.reply(ev.Session, Reply{Kind: ReplyInterrupted, Text: killed})
		return true
	case b.ending:
		b.reply(ev.Session, Reply{Kind: ReplyRejected, Text: stopping})
		return true
	case ev.Request.Timeout <= lastWay && ev.Request.Timeout < k.LatencyObjective:
		// Guards against a client's last retry, in what little is left of its time, that is never answered: no answer can
		// come in time but one that leaves now.
		b.reply(ev.Session, Reply{Kind: ReplyRejected, Text: "no time is left"})
		return true
	}
	b.nextID++
	r := &request{Request: ev.Request, class: k, id: b.nextID, name: strconv.FormatUint(b.nextID, 10), session: ev.Session,
		taken: now, priority: 1}
	from := b.waitsFrom(ev.Request)
	r.deadline = from + ev.Request.Timeout - early(ev.Request, from)
	b.requests[r.id], b.refs[r.RequestID] = r, true
	s.open = r
	b.open++
	b.meter.RequestAccepted(&r.Request)
	b.tell(arrival{sent: r.SentAt, RequestReceived: control.RequestReceived{Request: control.Request{ID: r.name, Class: r.Class, Tenant: r.Tenant,
		OrderKey: r.OrderKey, DataSet: r.DataSet, Deadline: r.deadline, EstimatedWork: r.EstimatedWork, EstimatedMemoryMB: r.EstimatedMemoryMB}}})
	return true
}

// A train is a row of requests of one key, each written as soon after the one before as clients may.
type train struct {
	start, last time.Duration
	fresh       bool // the last one came on a new connection
}

// Clients write requests of one key no closer than this, the second figure after one on a new connection;
// the slack is for the way here.
const (
	keyGap      = 60 * time.Millisecond
	freshKeyGap = 250 * time.Millisecond
	gapSlack    = 15 * time.Millisecond
	fewTrains   = 32 // keys remembered before those that are over are looked for
)

// waitsFrom is when a client's wait for a request may have begun. Clients hold a request back while another
// of its key was written just before, but count their wait from when they meant to send it. Guards against
// answers that come after it: of a request that follows so closely only this is sure, that it was not meant
// before the first of its train.
func (b *Broker) waitsFrom(r Request) time.Duration {
	if r.OrderKey == "" {
		return r.SentAt
	}
	t := b.trains[r.OrderKey]
	if t == nil || !t.holds(r.SentAt) {
		if len(b.trains) >= b.sweepTrains { // keys are new every day, so those that are over must go
			maps.DeleteFunc(b.trains, func(_ string, t *train) bool { return !t.holds(r.SentAt) })
			b.sweepTrains = max(fewTrains, 2*len(b.trains))
		}
		t = &train{start: r.SentAt}
		b.trains[r.OrderKey] = t
	}
	t.last, t.fresh = max(t.last, r.SentAt), r.FirstOnConnection
	return min(t.start, r.SentAt)
}

// early is how long before its time a client may stop waiting for a request, where it began to wait at from by what is known
// here: it began before its last bytes came, and must have the answer by then. Guards against answers that leave in the last
// moment and come to a client that has left. (Seen on roll+term+brink, where engines hang: requests killed 3 to 7 ms, and
// those with an order key 34 to 98 ms, before the time that they had named.)
func early(r Request, from time.Duration) time.Duration {
	most := lastWay
	if r.OrderKey != "" && from == r.SentAt { // it may have been held back for another of its key, which went to another broker
		most = freshKeyGap + gapSlack
	}
	return min(most, time.Duration(lastPart*float64(r.Timeout)))
}

// holds tells whether a request written at a time may have been held back for this train.
func (t *train) holds(at time.Duration) bool {
	gap := keyGap
	if t.fresh {
		gap = freshKeyGap
	}
	return at-t.last < gap+gapSlack
}

// gone ends a request whose client waits no more; nothing is owed for it.
func (b *Broker) gone(now time.Duration, r *request) {
	if b.finish(r) {
		b.measureOver(now, r, ReplyInterrupted, true)
		b.tell(control.ClientDisconnected{RequestID: r.name})
	}
}

// finish marks a request as over; false if it was.
func (b *Broker) finish(r *request) bool {
	if r.over {
		return false
	}
	r.over = true
	r.Body = "" // timers may hold the request until its deadline; its text would add up
	b.open--
	for _, a := range r.attempts {
		if a.out && a.ending == control.OK && a.served == nil {
			// Guards against a send that leaves after its client has: it may wait for a connection or behind others,
			// and where the deployment does not let attempts be called off the module can't.
			b.do(WithdrawUnsent{a.id})
		}
	}
	b.forget(r)
	return true
}

// answer gives a request its one final answer.
func (b *Broker) answer(now time.Duration, r *request, reply Reply) {
	if b.finish(r) {
		b.measureOver(now, r, reply.Kind, false)
		b.reply(r.session, reply)
		if s := b.sessions.by[r.session]; s != nil {
			s.open = nil
			b.freed = append(b.freed, r.session)
		}
	}
}

// forget drops a request that is over once none of its attempts is out.
func (b *Broker) forget(r *request) {
	if r.over && !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.out }) {
		delete(b.requests, r.id)
		delete(b.refs, r.RequestID)
	}
}

// act carries out one action of the module.
func (b *Broker) act(now time.Duration, a control.Action) {
	switch a := a.(type) {
	case control.SendAttempt:
		b.send(now, a)
	case control.Reject:
		if r := b.named(a.RequestID); r != nil {
			b.answer(now, r, Reply{Kind: ReplyRejected, Text: "the engines have no room", RetryAfter: a.RetryAfter})
		}
	case control.Fail:
		if r := b.named(a.RequestID); r != nil {
			b.answer(now, r, Reply{Kind: ReplyFailed, Text: "no engine answered in time"})
		}
	case control.CancelAttempt:
		if r := b.named(a.RequestID); r != nil && a.Number < len(r.attempts) {
			b.giveUp(r.attempts[a.Number], control.Cancelled)
		}
	case control.SetAttemptOptions:
		if r := b.named(a.RequestID); r != nil {
			b.terms(r, a)
		}
	case control.SetTimer:
		b.after(now+a.After, func(time.Duration) { b.tell(control.TimerFired{Token: a.Token}) })
	case control.ProbeLoad:
		b.probe(now, a.Engine)
	case control.SendGossip:
		b.do(SendGossip{Broker: a.Broker, Reports: a.Reports})
	case control.Log:
		b.do(LogLine{a.Text})
	case control.WatchEndpoints: // changes come unasked
	}
}

func (b *Broker) named(query string) *request {
	id, err := strconv.ParseUint(query, 10, 64)
	if err != nil {
		return nil
	}
	return b.requests[id]
}

func (b *Broker) send(now time.Duration, s control.SendAttempt) {
	r := b.named(s.RequestID)
	if r == nil {
		return
	}
	a := &attempt{id: AttemptID{r.id, len(r.attempts)}, r: r, engine: s.Engine, sent: now, out: true, ran: true}
	r.attempts = append(r.attempts, a)
	e, listed := b.engines[s.Engine]
	until := r.deadline
	if s.Timeout > 0 {
		until = min(until, now+s.Timeout)
	}
	if r.over || until <= now || !listed || e.State != control.Ready {
		// Guards against a send that the module decided before it could know: nothing has left.
		b.end(now, a, control.AttemptEnded{Status: control.NeverSent})
		return
	}
	b.meter.AttemptStarted(r.Class)
	b.do(StartAttempt{Attempt: a.id, Engine: e.ID, Addr: e.Addr, RequestID: r.RequestID, Class: r.Class, IdempotencyKey: r.IdempotencyKey,
		Timeout: until - now, OverdueAfter: s.OverdueAfter, GrantMB: r.grantMB, Priority: r.priority, Body: r.Body})
	b.after(until, func(time.Duration) { b.giveUp(a, control.TimedOut) })
}

func (b *Broker) terms(r *request, t control.SetAttemptOptions) {
	changed := t.Priority != r.priority
	r.grantMB, r.priority = t.GrantMB, t.Priority
	for _, a := range r.attempts {
		if changed && a.out && a.served == nil && a.ending == control.OK {
			b.do(SetPriority{a.id, t.Priority})
		}
	}
}

// giveUp calls an attempt off. It stays out until its engine can have been told, as only then may the next
// request of its key go.
func (b *Broker) giveUp(a *attempt, how control.Status) {
	if !a.out || a.ending != control.OK {
		return
	}
	a.ending = how
	b.do(CancelAttempt{a.id})
}

func (b *Broker) attempt(id AttemptID) *attempt {
	r := b.requests[id.Request]
	if r == nil || id.Number >= len(r.attempts) || !r.attempts[id.Number].out {
		return nil
	}
	return r.attempts[id.Number]
}

// end tells the module of an attempt's end.
func (b *Broker) end(now time.Duration, a *attempt, ev control.AttemptEnded) {
	a.out = false
	a.pages = nil
	ev.RequestID, ev.Number, ev.Engine = a.r.name, a.id.Number, a.engine
	ev.Duration, ev.RequestClosed = now-a.sent, a.r.over
	a.ran = ev.Status != control.ConnectFailed && ev.Status != control.AtCapacity && ev.Status != control.NeverSent
	b.meter.AttemptEnded(AttemptSummary{Class: a.r.Class, Engine: a.engine, Status: ev.Status, Duration: ev.Duration, Wasted: a.ran && !a.won})
	b.tell(ev)
	b.forget(a.r)
}

func (b *Broker) ended(now time.Duration, ev AttemptEnded) {
	a := b.attempt(ev.Attempt)
	if a == nil {
		return
	}
	status := ev.Status
	if status == control.Cancelled && a.ending != control.OK {
		status = a.ending
	}
	if a.served != nil && status != control.Cancelled && status != control.TimedOut {
		// Guards against a BUSY or VOID for a page, which would pass as proof that nothing ran.
		status = control.Failed
	}
	calledOff := status == control.Cancelled || status == control.TimedOut
	if calledOff && (a.r.OrderKey != "" || !b.copies) || status == control.ConnectionReset && !b.copies {
		// Guards the order of a key at the engines, and the rule that no request has two attempts out: the word that
		// calls this attempt off has left, or its connection has ended, but the next request of the key or the next
		// attempt could overtake that on the way to another engine.
		b.after(now+settle, func(now time.Duration) { b.end(now, a, control.AttemptEnded{Status: status, Report: ev.Report}) })
		return
	}
	b.end(now, a, control.AttemptEnded{Status: status, Report: ev.Report, SharedCause: ev.SharedCause})
}

// served takes a good end at the engine. It counts only once every page is in, so that an engine that dies
// between pages costs another attempt and not a broken answer.
func (b *Broker) served(now time.Duration, ev AttemptServed) {
	a := b.attempt(ev.Attempt)
	if a == nil || a.ending != control.OK || a.served != nil {
		return
	}
	if ev.PageCount < 1 || ev.PageCount > mostPages || !whole(ev.Body) {
		b.broken(now, a, "a result that can't be read")
		return
	}
	a.served, a.pages, a.missing, a.size = &ev, make([][]byte, ev.PageCount), ev.PageCount-1, len(ev.Body)
	a.pages[0] = notNil(ev.Body)
	if a.missing == 0 {
		b.complete(now, a)
		return
	}
	for n := 1; n < ev.PageCount; n++ {
		b.do(FetchPage{a.id, n})
	}
	b.awaitPages(now, a)
}

// awaitPages gives an attempt up whose engine falls silent between pages.
func (b *Broker) awaitPages(now time.Duration, a *attempt) {
	missing := a.missing
	b.after(now+pageTimeout, func(now time.Duration) {
		if a.out && a.missing == missing && a.ending == control.OK {
			b.broken(now, a, "a page that did not come")
		} else if a.out && a.ending == control.OK {
			b.awaitPages(now, a)
		}
	})
}

func (b *Broker) page(now time.Duration, ev PageReceived) {
	a := b.attempt(ev.Attempt)
	if a == nil || a.ending != control.OK || a.served == nil {
		return
	}
	if ev.Number >= 0 && ev.Number < len(a.pages) && a.pages[ev.Number] != nil && bytes.Equal(a.pages[ev.Number], ev.Body) {
		return // a second copy
	}
	a.size += len(ev.Body)
	if ev.Number < 1 || ev.Number >= len(a.pages) || a.pages[ev.Number] != nil || !whole(ev.Body) || a.size > MaxResultBytes {
		b.broken(now, a, "a page that can't be read")
		return
	}
	a.pages[ev.Number] = notNil(ev.Body)
	if a.missing--; a.missing == 0 {
		b.complete(now, a)
	}
}

// notNil tells an empty page from one that has not come.
func notNil(page []byte) []byte {
	if page == nil {
		return []byte{}
	}
	return page
}

// whole tells whether a page is text in whole rows, as an engine sends it. Guards against a spoilt one passing
// for a result.
func whole(page []byte) bool {
	if len(page) > mostPage || !utf8.Valid(page) {
		return false
	}
	for len(page) > 0 {
		row, rest, ok := bytes.Cut(page, []byte{'\n'})
		if !ok || bytes.Count(row, []byte{'\t'}) != columns-1 {
			return false
		}
		page = rest
	}
	return true
}

// broken ends an attempt whose result can't be had whole.
func (b *Broker) broken(now time.Duration, a *attempt, why string) {
	b.do(LogLine{"engine " + a.engine + " gave " + why})
	b.do(ReleaseAttempt{Attempt: a.id, PagesLeft: true})
	b.end(now, a, control.AttemptEnded{Status: control.Failed})
}

func (b *Broker) complete(now time.Duration, a *attempt) {
	b.do(ReleaseAttempt{Attempt: a.id})
	pages := a.pages
	a.won = !a.r.over
	b.answer(now, a.r, Reply{Kind: ReplyResult, Pages: pages})
	b.end(now, a, control.AttemptEnded{Status: control.OK, Work: a.served.Work, MemoryMB: a.served.MemoryMB,
		Report: a.served.Report})
}

func (b *Broker) probe(now time.Duration, id string) {
	e, listed := b.engines[id]
	if !listed {
		b.tell(control.ProbeResult{Engine: id, Status: control.ConnectFailed})
		return
	}
	b.ordinal++
	tag := b.ordinal
	b.probes[tag] = probe{engine: id, sent: now}
	b.do(ProbeLoad{ProbeID: tag, Engine: id, Addr: e.Addr})
	b.after(now+probeTimeout, func(now time.Duration) { b.probed(now, ProbeResult{ProbeID: tag, Status: control.TimedOut}) })
}

func (b *Broker) probed(now time.Duration, ev ProbeResult) {
	p, ok := b.probes[ev.ProbeID]
	if !ok {
		return
	}
	delete(b.probes, ev.ProbeID)
	b.tell(control.ProbeResult{Engine: p.engine, Status: ev.Status, Duration: now - p.sent, Report: ev.Report})
}

// changes follows the change log. What was taken before is passed over, so a page may come twice.
func (b *Broker) changes(p changelog.Page) {
	for _, c := range p.Changes {
		if c.Revision <= b.seq {
			continue
		}
		list := control.EndpointUpdate{Kind: control.EndpointDelta}
		if c.Snapshot {
			list.Kind = control.EndpointSnapshot
			named := map[string]bool{}
			for _, h := range c.Endpoints {
				named[h.ID] = true
			}
			for _, id := range b.hosts() {
				if !named[id] {
					b.do(CloseEngineConnections{Engine: id})
					delete(b.engines, id)
				}
			}
		}
		for _, h := range c.Endpoints {
			for _, id := range b.host(h) {
				list.Engines = append(list.Engines, control.Engine{ID: id, State: control.Removed})
			}
			list.Engines = append(list.Engines, h.Engine)
			if h.State != control.Removed {
				b.remember(h.ID)
			}
		}
		b.tell(list)
	}
	b.seq = max(b.seq, p.Revision)
	b.count()
}

// host takes what the change log says of an engine, and returns those that must be gone as it has their address.
func (b *Broker) host(h changelog.Endpoint) (replaced []string) {
	for _, id := range b.hosts() {
		// Guards against answers of an engine that is gone being taken for those of the one that has its
		// address now, and against work that goes to the wrong one.
		if o := b.engines[id]; id != h.ID && o.Addr == h.Addr && h.State != control.Removed {
			b.do(CloseEngineConnections{Engine: id})
			delete(b.engines, id)
			replaced = append(replaced, id)
		}
	}
	old, listed := b.engines[h.ID]
	switch {
	case h.State == control.Removed, listed && old.Addr != h.Addr:
		b.do(CloseEngineConnections{Engine: h.ID})
	case listed && h.StartedAt > old.StartedAt:
		// The list tells of a restart seconds late. What went to the new process meanwhile is under way there, and would
		// fail for nothing if its connection were closed: of an unsafe class for good.
		b.do(CloseEngineConnections{Engine: h.ID, DialedBefore: h.StartedAt})
		if h.State == control.Draining {
			b.do(CancelUnsent{h.ID})
		}
	case h.State == control.Draining:
		b.do(CancelUnsent{h.ID})
	}
	if h.State == control.Removed {
		delete(b.engines, h.ID)
	} else {
		b.engines[h.ID] = h
	}
	return replaced
}

// hosts are the engines in a fixed order.
func (b *Broker) hosts() []string {
	ids := make([]string, 0, len(b.engines))
	for id := range b.engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// lastWords answers, shortly before the broker must end, what it could not finish: a broken connection would leave its
// client to find out. What comes later is refused.
func (b *Broker) lastWords(now time.Duration) {
	b.ending = true
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		if r := b.requests[id]; r != nil && !r.over {
			b.tell(control.ClientDisconnected{RequestID: r.name})
			b.answer(now, r, r.lastWord(stopping))
		}
	}
}

// lastWord answers a request that can't be finished: refused where trying again is harmless.
func (r *request) lastWord(why string) Reply {
	k := r.class
	ran := slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.ran })
	if !ran || k.Idempotency == control.Idempotent || k.Idempotency == control.IdempotentWithKey && k.DedupScope == control.DedupScopeAll {
		return Reply{Kind: ReplyRejected, Text: why}
	}
	return Reply{Kind: ReplyFailed, Text: why}
}

// timers is a heap by time, and by order of setting within one time.
type timers []timer

type timer struct {
	at    time.Duration
	order uint64
	fire  func(now time.Duration)
}

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].order < t[j].order
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return x
}
