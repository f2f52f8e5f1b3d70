package broker

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"wheatlane/control"
	"wheatlane/internal/broker/clientwait"
)

// request is an accepted request.
type request struct {
	Request
	id         uint64
	moduleID   string // its id in the decision module
	session    Session
	acceptedAt time.Duration
	deadline   time.Duration // of the final answer
	closed     bool          // it was answered or abandoned
	grantMB    float64       // of its next attempt
	priority   int           // of its attempts
	class      control.Class // as it was when the request was accepted
	attempts   []*attempt    // by their numbers
}

func (r *request) hasAttemptInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.inFlight })
}

func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun })
}

// finalAnswer is the answer to a request that can't be finished: rejected where a retry is harmless, else
// failed.
func (r *request) finalAnswer(text string) Reply {
	if r.class.Idempotency.AllowsRejection(r.mayHaveRun()) {
		return Reply{Kind: ReplyRejected, Text: text}
	}
	return Reply{Kind: ReplyFailed, Text: text}
}

// requestTable holds the requests that are open or have an attempt in flight.
type requestTable struct {
	byID      map[uint64]*request
	clientIDs map[string]bool // the clients' ids of the requests in byID
	lastID    uint64
	open      int // requests whose clients wait for an answer
}

func newRequestTable() requestTable {
	return requestTable{byID: map[uint64]*request{}, clientIDs: map[string]bool{}}
}

// add gives a request its ids and adds it as open.
func (t *requestTable) add(r *request) {
	t.lastID++
	r.id = t.lastID
	r.moduleID = strconv.FormatUint(r.id, 10)
	t.byID[r.id] = r
	t.clientIDs[r.RequestID] = true
	t.open++
}

// byModuleID finds a request by its id in the decision module; nil if it is not in the table.
func (t *requestTable) byModuleID(moduleID string) *request {
	id, err := strconv.ParseUint(moduleID, 10, 64)
	if err != nil {
		return nil
	}
	return t.byID[id]
}

// attemptInFlight finds an attempt; nil if it is unknown or not in flight.
func (t *requestTable) attemptInFlight(id AttemptID) *attempt {
	r := t.byID[id.Request]
	if r == nil || id.Number >= len(r.attempts) || !r.attempts[id.Number].inFlight {
		return nil
	}
	return r.attempts[id.Number]
}

// openRequests are the requests whose clients wait, in the order in which they were accepted.
func (t *requestTable) openRequests() []*request {
	open := make([]*request, 0, t.open)
	for _, id := range slices.Sorted(maps.Keys(t.byID)) {
		if r := t.byID[id]; !r.closed {
			open = append(open, r)
		}
	}
	return open
}

// dropIfDone removes a request that is closed and has no attempt in flight.
func (t *requestTable) dropIfDone(r *request) {
	if r.closed && !r.hasAttemptInFlight() {
		delete(t.byID, r.id)
		delete(t.clientIDs, r.RequestID)
	}
}

// OpenRequests is the number of requests whose clients wait for an answer.
func (b *Broker) OpenRequests() int { return b.requests.open }

// submit accepts a request or answers it at once.
func (b *Broker) submit(now time.Duration, s *session, c SubmitRequest) {
	in := c.Request
	class, err := b.checkFields(in)
	if err != nil {
		s.evictFirst = true
		b.reply(s.id, Reply{Kind: ReplyInvalidFields, Text: err.Error()})
		return
	}
	switch {
	case in.SentAt < s.killedAt:
		// The query and its KILL come on two connections, and the KILL may be read first.
		b.reply(s.id, Reply{Kind: ReplyInterrupted, Text: queryKilledText})
	case b.shutdown.finalAnswersSent:
		b.reply(s.id, Reply{Kind: ReplyRejected, Text: shuttingDownText})
	case in.Timeout <= clientwait.MinMargin && in.Timeout < class.LatencyObjective:
		// This may be a client's last retry, with too little time left to run it: only an immediate answer
		// arrives before the client gives up.
		b.reply(s.id, Reply{Kind: ReplyRejected, Text: noTimeLeftText})
	default:
		b.accept(now, s, class, c)
	}
}

// checkFields returns the class of a request, or the error of a field that can't be used.
func (b *Broker) checkFields(in Request) (control.Class, error) {
	class, err := b.validator.check(in)
	if err == nil && b.requests.clientIDs[in.RequestID] {
		// Engines know a request by this id alone, and an answer could pass for another request's.
		err = errDuplicateRequestID
	}
	return class, err
}

// wait is what is known of how long the client of a request has been waiting.
func (c SubmitRequest) wait() clientwait.Request {
	return clientwait.Request{
		SentAt:            c.Request.SentAt,
		WaitingSince:      c.WaitingSince,
		Timeout:           c.Request.Timeout,
		OrderKey:          c.Request.OrderKey,
		FirstOnConnection: c.Request.FirstOnConnection,
	}
}

// accept opens a request and hands it to the decision module.
func (b *Broker) accept(now time.Duration, s *session, class control.Class, c SubmitRequest) {
	r := &request{
		Request:    c.Request,
		session:    s.id,
		acceptedAt: now,
		deadline:   b.clientWaits.Deadline(c.wait()),
		priority:   1,
		class:      class,
	}
	b.requests.add(r)
	s.openRequest = r
	b.meter.RequestAccepted(&r.Request)
	b.trace(now, r, Transition{State: RequestAcceptedState})
	received := control.RequestReceived{Request: control.Request{
		ID:                r.moduleID,
		Class:             r.Class,
		Tenant:            r.Tenant,
		OrderKey:          r.OrderKey,
		DataSet:           r.DataSet,
		Deadline:          r.deadline,
		EstimatedWork:     r.EstimatedWork,
		EstimatedMemoryMB: r.EstimatedMemoryMB,
	}}
	b.batch.add(requestWithSentTime{received, r.SentAt})
}

// answer closes a request with its one final answer; it does nothing if the request is closed.
func (b *Broker) answer(now time.Duration, r *request, reply Reply, cause EndCause) {
	if r.closed {
		return
	}
	b.closeRequest(r)
	b.reportAnswered(now, r, reply.Kind, cause)
	b.reply(r.session, reply)
	if s := b.sessions.byID[r.session]; s != nil {
		s.openRequest = nil
		b.answeredSessions = append(b.answeredSessions, r.session)
	}
}

// abandon closes a request without an answer, as its client has left or killed it.
func (b *Broker) abandon(now time.Duration, r *request, cause EndCause) {
	if r.closed {
		return
	}
	b.closeRequest(r)
	b.reportAbandoned(now, r, cause)
	b.batch.add(control.ClientDisconnected{RequestID: r.moduleID})
}

// closeRequest closes an open request.
func (b *Broker) closeRequest(r *request) {
	r.closed = true
	r.Body = "" // timers refer to the request until its deadline, and bodies may be large
	b.requests.open--
	for _, a := range r.attempts {
		if a.awaitsFirstPage() {
			// It may still wait for a connection or in a write buffer, and the decision module may not be
			// allowed to cancel it.
			b.emit(WithdrawUnsent{a.id})
		}
	}
	b.requests.dropIfDone(r)
}
