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
	rowColumns     = 3    // of every row
	maxPageBytes   = 6000 // bytes
	maxPages       = 64   // engines fill them: two that follow each other hold more than one has room for

	pageTimeout          = 500 * time.Millisecond // for each page: a silent engine is given up after it
	loadProbeTimeout     = 250 * time.Millisecond
	timeoutSlack         = time.Second           // clients give up within their class's time; more than that is no figure of theirs
	settleDelay          = 10 * time.Millisecond // a word to an engine is there by then
	answerMargin         = 12 * time.Millisecond // a request's way here and its answer's back take no longer, both processes' delays included
	answerMarginFraction = 0.15                  // of a client's wait is the most that is kept for them
	shuttingDownText     = "the broker is stopping"
)

// Broker is the reducer. It is not safe for concurrent use.
type Broker struct {
	module           *control.Controller
	minBatchInterval time.Duration
	lastBatchAt      time.Duration
	moduleEvents     []control.Event
	effects          []Effect
	answeredSessions []Session // those answered by what is being carried out; what waited there goes on after that

	sessions      sessionTable
	requests      map[uint64]*request
	requestIDs    map[string]bool // the clients' ids of requests
	lastRequestID uint64
	openRequests  int // requests that are owed an answer

	endpoints    map[string]changelog.Endpoint
	hedging      bool            // two attempts of a request may be out at once
	readyEngines int             // engines in service and not left out
	maintenance  map[string]bool // engines left out by hand
	everListed   map[string]bool // engines that were ever listed, as far as is kept
	view         control.View
	revision     int64

	probes           map[uint64]loadProbe
	keyBursts        map[string]*keyBurst // by order key
	sweepBurstsAt    int                  // so many trains, and those that are over go
	classes          map[string]control.Class
	longestTimeouts  map[string]time.Duration // the longest deadline that each class ever had
	tenants          map[string]bool
	timers           timerQueue
	lastOrdinal      uint64
	shuttingDown     bool
	finalAnswersSent bool // the last answers were given: what comes now is refused
	meter            Meter
}

type request struct {
	Request
	id         uint64
	moduleID   string // id as the module knows it
	session    Session
	acceptedAt time.Duration
	closed     bool // answered, or its client is gone
	deadline   time.Duration
	grantMB    float64
	priority   int
	class      control.Class // as it was when the request was taken
	attempts   []*attempt
}

type attempt struct {
	id             AttemptID
	request        *request
	engine         string
	startedAt      time.Duration
	inFlight       bool
	mayHaveRun     bool           // it may have run
	answeredClient bool           // its answer is the client's
	cancelStatus   control.Status // how it ends once its engine has been told; OK while it is not being given up
	served         *AttemptServed
	pages          [][]byte
	missingPages   int
	resultBytes    int
}

type loadProbe struct {
	engine string
	sentAt time.Duration
}

// New returns a broker that knows no engines yet and keeps so many sessions at the most.
func New(set control.Settings, seed uint64, mostSessions int) (*Broker, error) {
	c, err := control.New(set, seed)
	if err != nil {
		return nil, err
	}
	b := &Broker{module: c, minBatchInterval: set.MinBatchInterval, hedging: set.Limits.Hedging, sessions: newSessionTable(mostSessions), requests: map[uint64]*request{}, requestIDs: map[string]bool{},
		endpoints: map[string]changelog.Endpoint{}, maintenance: map[string]bool{}, everListed: map[string]bool{}, probes: map[uint64]loadProbe{}, keyBursts: map[string]*keyBurst{},
		classes: map[string]control.Class{}, longestTimeouts: map[string]time.Duration{}, tenants: map[string]bool{}, sweepBurstsAt: minBurstsToSweep, meter: NopMeter{}}
	b.setClasses(set.Classes)
	for _, t := range set.Tenants {
		b.tenants[t.Name] = true
	}
	return b, nil
}

// LastRevision is the number of the last change taken.
func (b *Broker) LastRevision() int64 { return b.revision }

// OpenRequests is the number of requests that are owed an answer.
func (b *Broker) OpenRequests() int { return b.openRequests }

// NextDeadline is the time at which Tick has something to do; ok is false if there is nothing.
func (b *Broker) NextDeadline() (at time.Duration, ok bool) {
	if len(b.moduleEvents) > 0 {
		at, ok = b.lastBatchAt+b.minBatchInterval, true
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
	if len(b.moduleEvents) > 0 && now >= b.lastBatchAt+b.minBatchInterval {
		b.lastBatchAt = now
		events := b.moduleEvents
		b.moduleEvents = nil
		// Requests read late in one go are taken in the order in which they were sent: those of one key must
		// run in that order, on whichever connections they came.
		sortBySentTime(events)
		for _, a := range b.module.Handle(now, events) {
			b.carryOut(now, a)
		}
	}
	b.resumeSessions(now)
	return b.takeEffects()
}

// resumeSessions lets the sessions that were answered go on with what came ahead of their answers. Guards against a word that
// waited so and ends a request that the same round of the module sends: the module would wait for that attempt's end.
func (b *Broker) resumeSessions(now time.Duration) {
	for len(b.answeredSessions) > 0 {
		id := b.answeredSessions[0]
		b.answeredSessions = b.answeredSessions[1:]
		b.resumeSession(now, id)
	}
}

// sortBySentTime sorts the arrivals among events by the time they were sent; all else keeps its place.
func sortBySentTime(events []control.Event) {
	var places []int
	var arrivals []receivedRequest
	for i, ev := range events {
		if a, ok := ev.(receivedRequest); ok {
			places, arrivals = append(places, i), append(arrivals, a)
		}
	}
	slices.SortStableFunc(arrivals, func(a, b receivedRequest) int { return int(a.sentAt - b.sentAt) })
	for i, at := range places {
		events[at] = arrivals[i].RequestReceived
	}
}

// receivedRequest is a control.Arrival with the time at which it was sent, until its round.
type receivedRequest struct {
	control.RequestReceived
	sentAt time.Duration
}

func (b *Broker) takeEffects() []Effect {
	out := b.effects
	b.effects = nil
	return out
}

func (b *Broker) emit(e Effect)                 { b.effects = append(b.effects, e) }
func (b *Broker) notifyModule(ev control.Event) { b.moduleEvents = append(b.moduleEvents, ev) }

// reply answers a session. A result and what is no answer to a request are not turned away.
func (b *Broker) reply(s Session, r Reply) {
	r.Session = s
	if r.Kind != ReplyResult && r.Kind != ReplyOK && r.Kind != ReplyFailed {
		b.meter.RequestRejected(r.Kind)
	}
	b.emit(r)
}

func (b *Broker) setTimer(at time.Duration, fire func(now time.Duration)) {
	b.lastOrdinal++
	heap.Push(&b.timers, timer{at, b.lastOrdinal, fire})
}

// Apply takes one event.
func (b *Broker) Apply(now time.Duration, ev Event) []Effect {
	switch ev := ev.(type) {
	case SessionOpened:
		b.openSession(now, ev.Session)
	case SessionAuthenticated:
		b.authenticateSession(now, ev.Session)
	case SubmitRequest:
		b.handleCommand(now, ev.Session, ev)
	case Ping:
		b.handleCommand(now, ev.Session, ev)
	case Kill:
		b.handleCommand(now, ev.RequestedBy, ev)
	case InvalidRequest:
		b.handleCommand(now, ev.Session, ev)
	case SessionClosed:
		b.endSession(now, ev.Session)
	case SessionHalfClosed:
		b.halfCloseSession(now, ev.Session)
	case AttemptServed:
		b.attemptServed(now, ev)
	case PageReceived:
		b.pageReceived(now, ev)
	case AttemptEnded:
		b.attemptEnded(now, ev)
	case ProbeResult:
		b.probeEnded(now, ev)
	case GossipReceived:
		b.notifyModule(control.GossipReceived{Broker: ev.Broker, Reports: ev.Reports})
	case EndpointChanges:
		b.applyChanges(ev.Page)
	case Shutdown:
		b.shuttingDown = true
		b.setTimer(now+ev.Within, b.sendFinalAnswers)
	case SendFinalAnswers:
		b.sendFinalAnswers(now)
	case StartMaintenance:
		b.setMaintenance(ev.Engine, true)
	case EndMaintenance:
		b.setMaintenance(ev.Engine, false)
	case RestoreMaintenance:
		b.restoreMaintenance(ev.Engines)
	case UpdateSettings:
		b.updateSettings(ev.Settings)
	}
	b.resumeSessions(now)
	return b.takeEffects()
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
	case k.ClientTimeout > 0 && ev.Request.Timeout > b.longestTimeouts[ev.Request.Class]+timeoutSlack:
		bad = "the class has no such time to wait"
	case k.Idempotency == control.IdempotentWithKey && ev.Request.IdempotencyKey == "":
		// Without it an engine could not drop a repeat, and the effect might come twice.
		bad = "the class needs an idempotency key"
	case b.requestIDs[ev.Request.RequestID]:
		// Guards against an answer that passes for another's, as engines know a request by this id alone.
		bad = "the id of the request is in use"
	}
	switch {
	case bad != "":
		b.reply(ev.Session, Reply{Kind: ReplyInvalidFields, Text: bad})
		return false
	case ev.Request.SentAt < s.killedAt:
		// Guards against a request that goes on for a client that has left: its query and the word that kills it come
		// on two connections, and may be read in the other order.
		b.reply(ev.Session, Reply{Kind: ReplyInterrupted, Text: queryKilledText})
		return true
	case b.finalAnswersSent:
		b.reply(ev.Session, Reply{Kind: ReplyRejected, Text: shuttingDownText})
		return true
	case ev.Request.Timeout <= answerMargin && ev.Request.Timeout < k.LatencyObjective:
		// Guards against a client's last retry, in what little is left of its time, that is never answered: no answer can
		// come in time but one that leaves now.
		b.reply(ev.Session, Reply{Kind: ReplyRejected, Text: "no time is left"})
		return true
	}
	b.lastRequestID++
	r := &request{Request: ev.Request, class: k, id: b.lastRequestID, moduleID: strconv.FormatUint(b.lastRequestID, 10), session: ev.Session,
		acceptedAt: now, priority: 1}
	from := b.clientWaitStart(ev.Request)
	r.deadline = from + ev.Request.Timeout - answerMarginOf(ev.Request, from)
	b.requests[r.id], b.requestIDs[r.RequestID] = r, true
	s.openRequest = r
	b.openRequests++
	b.meter.RequestAccepted(&r.Request)
	b.notifyModule(receivedRequest{sentAt: r.SentAt, RequestReceived: control.RequestReceived{Request: control.Request{ID: r.moduleID, Class: r.Class, Tenant: r.Tenant,
		OrderKey: r.OrderKey, DataSet: r.DataSet, Deadline: r.deadline, EstimatedWork: r.EstimatedWork, EstimatedMemoryMB: r.EstimatedMemoryMB}}})
	return true
}

// A train is a row of requests of one key, each written as soon after the one before as clients may.
type keyBurst struct {
	startedAt, lastSentAt time.Duration
	lastOnNewConnection   bool // the last one came on a new connection
}

// Clients write requests of one key no closer than this, the second figure after one on a new connection;
// the slack is for the way here.
const (
	keySpacing              = 60 * time.Millisecond
	keySpacingNewConnection = 250 * time.Millisecond
	keySpacingSlack         = 15 * time.Millisecond
	minBurstsToSweep        = 32 // keys remembered before those that are over are looked for
)

// clientWaitStart is when a client's wait for a request may have begun. Clients hold a request back while another
// of its key was written just before, but count their wait from when they meant to send it. Guards against
// answers that come after it: of a request that follows so closely only this is sure, that it was not meant
// before the first of its train.
func (b *Broker) clientWaitStart(r Request) time.Duration {
	if r.OrderKey == "" {
		return r.SentAt
	}
	t := b.keyBursts[r.OrderKey]
	if t == nil || !t.covers(r.SentAt) {
		if len(b.keyBursts) >= b.sweepBurstsAt { // keys are new every day, so those that are over must go
			maps.DeleteFunc(b.keyBursts, func(_ string, t *keyBurst) bool { return !t.covers(r.SentAt) })
			b.sweepBurstsAt = max(minBurstsToSweep, 2*len(b.keyBursts))
		}
		t = &keyBurst{startedAt: r.SentAt}
		b.keyBursts[r.OrderKey] = t
	}
	t.lastSentAt, t.lastOnNewConnection = max(t.lastSentAt, r.SentAt), r.FirstOnConnection
	return min(t.startedAt, r.SentAt)
}

// answerMarginOf is how long before its time a client may stop waiting for a request, where it began to wait at from by what is known
// here: it began before its last bytes came, and must have the answer by then. Guards against answers that leave in the last
// moment and come to a client that has left. (Seen on roll+term+brink, where engines hang: requests killed 3 to 7 ms, and
// those with an order key 34 to 98 ms, before the time that they had named.)
func answerMarginOf(r Request, from time.Duration) time.Duration {
	most := answerMargin
	if r.OrderKey != "" && from == r.SentAt { // it may have been held back for another of its key, which went to another broker
		most = keySpacingNewConnection + keySpacingSlack
	}
	return min(most, time.Duration(answerMarginFraction*float64(r.Timeout)))
}

// covers tells whether a request written at a time may have been held back for this train.
func (t *keyBurst) covers(at time.Duration) bool {
	gap := keySpacing
	if t.lastOnNewConnection {
		gap = keySpacingNewConnection
	}
	return at-t.lastSentAt < gap+keySpacingSlack
}

// abandonRequest ends a request whose client waits no more; nothing is owed for it.
func (b *Broker) abandonRequest(now time.Duration, r *request) {
	if b.closeRequest(r) {
		b.reportRequestEnd(now, r, ReplyInterrupted, true)
		b.notifyModule(control.ClientDisconnected{RequestID: r.moduleID})
	}
}

// closeRequest marks a request as over; false if it was.
func (b *Broker) closeRequest(r *request) bool {
	if r.closed {
		return false
	}
	r.closed = true
	r.Body = "" // timers may hold the request until its deadline; its text would add up
	b.openRequests--
	for _, a := range r.attempts {
		if a.inFlight && a.cancelStatus == control.OK && a.served == nil {
			// Guards against a send that leaves after its client has: it may wait for a connection or behind others,
			// and where the deployment does not let attempts be called off the module can't.
			b.emit(WithdrawUnsent{a.id})
		}
	}
	b.dropIfDone(r)
	return true
}

// answer gives a request its one final answer.
func (b *Broker) answer(now time.Duration, r *request, reply Reply) {
	if b.closeRequest(r) {
		b.reportRequestEnd(now, r, reply.Kind, false)
		b.reply(r.session, reply)
		if s := b.sessions.byID[r.session]; s != nil {
			s.openRequest = nil
			b.answeredSessions = append(b.answeredSessions, r.session)
		}
	}
}

// dropIfDone drops a request that is over once none of its attempts is out.
func (b *Broker) dropIfDone(r *request) {
	if r.closed && !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.inFlight }) {
		delete(b.requests, r.id)
		delete(b.requestIDs, r.RequestID)
	}
}

// carryOut carries out one action of the module.
func (b *Broker) carryOut(now time.Duration, a control.Action) {
	switch a := a.(type) {
	case control.SendAttempt:
		b.startAttempt(now, a)
	case control.Reject:
		if r := b.requestByModuleID(a.RequestID); r != nil {
			b.answer(now, r, Reply{Kind: ReplyRejected, Text: "the engines have no room", RetryAfter: a.RetryAfter})
		}
	case control.Fail:
		if r := b.requestByModuleID(a.RequestID); r != nil {
			b.answer(now, r, Reply{Kind: ReplyFailed, Text: "no engine answered in time"})
		}
	case control.CancelAttempt:
		if r := b.requestByModuleID(a.RequestID); r != nil && a.Number < len(r.attempts) {
			b.cancelAttempt(r.attempts[a.Number], control.Cancelled)
		}
	case control.SetAttemptOptions:
		if r := b.requestByModuleID(a.RequestID); r != nil {
			b.setAttemptOptions(r, a)
		}
	case control.SetTimer:
		b.setTimer(now+a.After, func(time.Duration) { b.notifyModule(control.TimerFired{Token: a.Token}) })
	case control.ProbeLoad:
		b.probeLoad(now, a.Engine)
	case control.SendGossip:
		b.emit(SendGossip{Broker: a.Broker, Reports: a.Reports})
	case control.Log:
		b.emit(LogLine{a.Text})
	case control.WatchEndpoints: // changes come unasked
	}
}

func (b *Broker) requestByModuleID(query string) *request {
	id, err := strconv.ParseUint(query, 10, 64)
	if err != nil {
		return nil
	}
	return b.requests[id]
}

func (b *Broker) startAttempt(now time.Duration, s control.SendAttempt) {
	r := b.requestByModuleID(s.RequestID)
	if r == nil {
		return
	}
	a := &attempt{id: AttemptID{r.id, len(r.attempts)}, request: r, engine: s.Engine, startedAt: now, inFlight: true, mayHaveRun: true}
	r.attempts = append(r.attempts, a)
	e, listed := b.endpoints[s.Engine]
	until := r.deadline
	if s.Timeout > 0 {
		until = min(until, now+s.Timeout)
	}
	if r.closed || until <= now || !listed || e.State != control.Ready {
		// Guards against a send that the module decided before it could know: nothing has left.
		b.endAttempt(now, a, control.AttemptEnded{Status: control.NeverSent})
		return
	}
	b.meter.AttemptStarted(r.Class)
	b.emit(StartAttempt{Attempt: a.id, Engine: e.ID, Addr: e.Addr, RequestID: r.RequestID, Class: r.Class, IdempotencyKey: r.IdempotencyKey,
		Timeout: until - now, OverdueAfter: s.OverdueAfter, GrantMB: r.grantMB, Priority: r.priority, Body: r.Body})
	b.setTimer(until, func(time.Duration) { b.cancelAttempt(a, control.TimedOut) })
}

func (b *Broker) setAttemptOptions(r *request, t control.SetAttemptOptions) {
	changed := t.Priority != r.priority
	r.grantMB, r.priority = t.GrantMB, t.Priority
	for _, a := range r.attempts {
		if changed && a.inFlight && a.served == nil && a.cancelStatus == control.OK {
			b.emit(SetPriority{a.id, t.Priority})
		}
	}
}

// cancelAttempt calls an attempt off. It stays out until its engine can have been told, as only then may the next
// request of its key go.
func (b *Broker) cancelAttempt(a *attempt, how control.Status) {
	if !a.inFlight || a.cancelStatus != control.OK {
		return
	}
	a.cancelStatus = how
	b.emit(CancelAttempt{a.id})
}

func (b *Broker) attemptInFlight(id AttemptID) *attempt {
	r := b.requests[id.Request]
	if r == nil || id.Number >= len(r.attempts) || !r.attempts[id.Number].inFlight {
		return nil
	}
	return r.attempts[id.Number]
}

// endAttempt tells the module of an attempt's end.
func (b *Broker) endAttempt(now time.Duration, a *attempt, ev control.AttemptEnded) {
	a.inFlight = false
	a.pages = nil
	ev.RequestID, ev.Number, ev.Engine = a.request.moduleID, a.id.Number, a.engine
	ev.Duration, ev.RequestClosed = now-a.startedAt, a.request.closed
	a.mayHaveRun = ev.Status != control.ConnectFailed && ev.Status != control.AtCapacity && ev.Status != control.NeverSent
	b.meter.AttemptEnded(AttemptSummary{Class: a.request.Class, Engine: a.engine, Status: ev.Status, Duration: ev.Duration, Wasted: a.mayHaveRun && !a.answeredClient})
	b.notifyModule(ev)
	b.dropIfDone(a.request)
}

func (b *Broker) attemptEnded(now time.Duration, ev AttemptEnded) {
	a := b.attemptInFlight(ev.Attempt)
	if a == nil {
		return
	}
	status := ev.Status
	if status == control.Cancelled && a.cancelStatus != control.OK {
		status = a.cancelStatus
	}
	if a.served != nil && status != control.Cancelled && status != control.TimedOut {
		// Guards against a BUSY or VOID for a page, which would pass as proof that nothing ran.
		status = control.Failed
	}
	calledOff := status == control.Cancelled || status == control.TimedOut
	if calledOff && (a.request.OrderKey != "" || !b.hedging) || status == control.ConnectionReset && !b.hedging {
		// Guards the order of a key at the engines, and the rule that no request has two attempts out: the word that
		// calls this attempt off has left, or its connection has ended, but the next request of the key or the next
		// attempt could overtake that on the way to another engine.
		b.setTimer(now+settleDelay, func(now time.Duration) { b.endAttempt(now, a, control.AttemptEnded{Status: status, Report: ev.Report}) })
		return
	}
	b.endAttempt(now, a, control.AttemptEnded{Status: status, Report: ev.Report, SharedCause: ev.SharedCause})
}

// attemptServed takes a good end at the engine. It counts only once every page is in, so that an engine that dies
// between pages costs another attempt and not a broken answer.
func (b *Broker) attemptServed(now time.Duration, ev AttemptServed) {
	a := b.attemptInFlight(ev.Attempt)
	if a == nil || a.cancelStatus != control.OK || a.served != nil {
		return
	}
	if ev.PageCount < 1 || ev.PageCount > maxPages || !validPage(ev.Body) {
		b.discardResult(now, a, "a result that can't be read")
		return
	}
	a.served, a.pages, a.missingPages, a.resultBytes = &ev, make([][]byte, ev.PageCount), ev.PageCount-1, len(ev.Body)
	a.pages[0] = nonNil(ev.Body)
	if a.missingPages == 0 {
		b.completeResult(now, a)
		return
	}
	for n := 1; n < ev.PageCount; n++ {
		b.emit(FetchPage{a.id, n})
	}
	b.awaitPages(now, a)
}

// awaitPages gives an attempt up whose engine falls silent between pages.
func (b *Broker) awaitPages(now time.Duration, a *attempt) {
	missing := a.missingPages
	b.setTimer(now+pageTimeout, func(now time.Duration) {
		if a.inFlight && a.missingPages == missing && a.cancelStatus == control.OK {
			b.discardResult(now, a, "a page that did not come")
		} else if a.inFlight && a.cancelStatus == control.OK {
			b.awaitPages(now, a)
		}
	})
}

func (b *Broker) pageReceived(now time.Duration, ev PageReceived) {
	a := b.attemptInFlight(ev.Attempt)
	if a == nil || a.cancelStatus != control.OK || a.served == nil {
		return
	}
	if ev.Number >= 0 && ev.Number < len(a.pages) && a.pages[ev.Number] != nil && bytes.Equal(a.pages[ev.Number], ev.Body) {
		return // a second copy
	}
	a.resultBytes += len(ev.Body)
	if ev.Number < 1 || ev.Number >= len(a.pages) || a.pages[ev.Number] != nil || !validPage(ev.Body) || a.resultBytes > MaxResultBytes {
		b.discardResult(now, a, "a page that can't be read")
		return
	}
	a.pages[ev.Number] = nonNil(ev.Body)
	if a.missingPages--; a.missingPages == 0 {
		b.completeResult(now, a)
	}
}

// nonNil tells an empty page from one that has not come.
func nonNil(page []byte) []byte {
	if page == nil {
		return []byte{}
	}
	return page
}

// validPage tells whether a page is text in whole rows, as an engine sends it. Guards against a spoilt one passing
// for a result.
func validPage(page []byte) bool {
	if len(page) > maxPageBytes || !utf8.Valid(page) {
		return false
	}
	for len(page) > 0 {
		row, rest, ok := bytes.Cut(page, []byte{'\n'})
		if !ok || bytes.Count(row, []byte{'\t'}) != rowColumns-1 {
			return false
		}
		page = rest
	}
	return true
}

// discardResult ends an attempt whose result can't be had whole.
func (b *Broker) discardResult(now time.Duration, a *attempt, why string) {
	b.emit(LogLine{"engine " + a.engine + " gave " + why})
	b.emit(ReleaseAttempt{Attempt: a.id, PagesLeft: true})
	b.endAttempt(now, a, control.AttemptEnded{Status: control.Failed})
}

func (b *Broker) completeResult(now time.Duration, a *attempt) {
	b.emit(ReleaseAttempt{Attempt: a.id})
	pages := a.pages
	a.answeredClient = !a.request.closed
	b.answer(now, a.request, Reply{Kind: ReplyResult, Pages: pages})
	b.endAttempt(now, a, control.AttemptEnded{Status: control.OK, Work: a.served.Work, MemoryMB: a.served.MemoryMB,
		Report: a.served.Report})
}

func (b *Broker) probeLoad(now time.Duration, id string) {
	e, listed := b.endpoints[id]
	if !listed {
		b.notifyModule(control.ProbeResult{Engine: id, Status: control.ConnectFailed})
		return
	}
	b.lastOrdinal++
	tag := b.lastOrdinal
	b.probes[tag] = loadProbe{engine: id, sentAt: now}
	b.emit(ProbeLoad{ProbeID: tag, Engine: id, Addr: e.Addr})
	b.setTimer(now+loadProbeTimeout, func(now time.Duration) { b.probeEnded(now, ProbeResult{ProbeID: tag, Status: control.TimedOut}) })
}

func (b *Broker) probeEnded(now time.Duration, ev ProbeResult) {
	p, ok := b.probes[ev.ProbeID]
	if !ok {
		return
	}
	delete(b.probes, ev.ProbeID)
	b.notifyModule(control.ProbeResult{Engine: p.engine, Status: ev.Status, Duration: now - p.sentAt, Report: ev.Report})
}

// applyChanges follows the change log. What was taken before is passed over, so a page may come twice.
func (b *Broker) applyChanges(p changelog.Page) {
	for _, c := range p.Changes {
		if c.Revision <= b.revision {
			continue
		}
		list := control.EndpointUpdate{Kind: control.EndpointDelta}
		if c.Snapshot {
			list.Kind = control.EndpointSnapshot
			named := map[string]bool{}
			for _, h := range c.Endpoints {
				named[h.ID] = true
			}
			for _, id := range b.endpointIDs() {
				if !named[id] {
					b.emit(CloseEngineConnections{Engine: id})
					delete(b.endpoints, id)
				}
			}
		}
		for _, h := range c.Endpoints {
			for _, id := range b.applyEndpoint(h) {
				list.Engines = append(list.Engines, control.Engine{ID: id, State: control.Removed})
			}
			list.Engines = append(list.Engines, h.Engine)
			if h.State != control.Removed {
				b.rememberListed(h.ID)
			}
		}
		b.notifyModule(list)
	}
	b.revision = max(b.revision, p.Revision)
	b.countReadyEngines()
}

// applyEndpoint takes what the change log says of an engine, and returns those that must be gone as it has their address.
func (b *Broker) applyEndpoint(h changelog.Endpoint) (replaced []string) {
	for _, id := range b.endpointIDs() {
		// Guards against answers of an engine that is gone being taken for those of the one that has its
		// address now, and against work that goes to the wrong one.
		if o := b.endpoints[id]; id != h.ID && o.Addr == h.Addr && h.State != control.Removed {
			b.emit(CloseEngineConnections{Engine: id})
			delete(b.endpoints, id)
			replaced = append(replaced, id)
		}
	}
	old, listed := b.endpoints[h.ID]
	switch {
	case h.State == control.Removed, listed && old.Addr != h.Addr:
		b.emit(CloseEngineConnections{Engine: h.ID})
	case listed && h.StartedAt > old.StartedAt:
		// The list tells of a restart seconds late. What went to the new process meanwhile is under way there, and would
		// fail for nothing if its connection were closed: of an unsafe class for good.
		b.emit(CloseEngineConnections{Engine: h.ID, DialedBefore: h.StartedAt})
		if h.State == control.Draining {
			b.emit(CancelUnsent{h.ID})
		}
	case h.State == control.Draining:
		b.emit(CancelUnsent{h.ID})
	}
	if h.State == control.Removed {
		delete(b.endpoints, h.ID)
	} else {
		b.endpoints[h.ID] = h
	}
	return replaced
}

// endpointIDs are the engines in a fixed order.
func (b *Broker) endpointIDs() []string {
	ids := make([]string, 0, len(b.endpoints))
	for id := range b.endpoints {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// sendFinalAnswers answers, shortly before the broker must end, what it could not finish: a broken connection would leave its
// client to find out. What comes later is refused.
func (b *Broker) sendFinalAnswers(now time.Duration) {
	b.finalAnswersSent = true
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		if r := b.requests[id]; r != nil && !r.closed {
			b.notifyModule(control.ClientDisconnected{RequestID: r.moduleID})
			b.answer(now, r, r.finalAnswer(shuttingDownText))
		}
	}
}

// finalAnswer answers a request that can't be finished: refused where trying again is harmless.
func (r *request) finalAnswer(why string) Reply {
	k := r.class
	ran := slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun })
	if !ran || k.Idempotency == control.Idempotent || k.Idempotency == control.IdempotentWithKey && k.DedupScope == control.DedupScopeAll {
		return Reply{Kind: ReplyRejected, Text: why}
	}
	return Reply{Kind: ReplyFailed, Text: why}
}

// timerQueue is a heap by time, and by order of setting within one time.
type timerQueue []timer

type timer struct {
	at      time.Duration
	ordinal uint64
	fire    func(now time.Duration)
}

func (t timerQueue) Len() int { return len(t) }
func (t timerQueue) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].ordinal < t[j].ordinal
}
func (t timerQueue) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timerQueue) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timerQueue) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return x
}
