package broker

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"wheatlane/control"
	"wheatlane/control/attemptoptions"
	"wheatlane/internal/broker/clientdeadline"
	"wheatlane/internal/overload"
)

// request is an accepted request.
type request struct {
	Request
	id         uint64
	moduleID   string // id in the decision module
	session    Session
	acceptedAt time.Duration
	deadline   time.Duration // deadline for sending the final answer
	closed     bool          // it was answered or abandoned
	grantMB    float64       // memory grant of its next attempt
	priority   int           // priority of its attempts
	class      control.Class // as of the time when the request was accepted
	attempts   []*attempt    // by attempt number
}

func (r *request) hasAttemptInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.inFlight })
}

func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun })
}

// finalAnswer returns the answer to a request that cannot be completed: a rejection if a retry is safe, else a failure.
func (r *request) finalAnswer(text string) Reply {
	if r.class.Idempotency.AllowsRejection(r.mayHaveRun()) {
		return Reply{Kind: ReplyRejected, Text: text}
	}
	return Reply{Kind: ReplyFailed, Text: text}
}

// requestTable holds the requests that are open or have an attempt in flight.
type requestTable struct {
	byID      map[uint64]*request
	clientIDs map[string]bool // client-assigned ids of the requests in byID
	lastID    uint64
	open      int // number of requests neither answered nor abandoned
}

func newRequestTable() requestTable {
	return requestTable{byID: map[uint64]*request{}, clientIDs: map[string]bool{}}
}

// add assigns a request its ids and adds it as open.
func (t *requestTable) add(request *request) {
	t.lastID++
	request.id = t.lastID
	request.moduleID = strconv.FormatUint(request.id, 10)
	t.byID[request.id] = request
	t.clientIDs[request.RequestID] = true
	t.open++
}

// byModuleID returns the request with the given id in the decision module; nil if it is not in the table.
func (t *requestTable) byModuleID(moduleID string) *request {
	id, err := strconv.ParseUint(moduleID, 10, 64)
	if err != nil {
		return nil
	}
	return t.byID[id]
}

// attemptInFlight returns the attempt with the given id; nil if it is unknown or not in flight.
func (t *requestTable) attemptInFlight(id AttemptID) *attempt {
	request := t.byID[id.Request]
	if request == nil || id.Number >= len(request.attempts) || !request.attempts[id.Number].inFlight {
		return nil
	}
	return request.attempts[id.Number]
}

// openRequests returns the open requests in the order in which they were accepted.
func (t *requestTable) openRequests() []*request {
	open := make([]*request, 0, t.open)
	for _, id := range slices.Sorted(maps.Keys(t.byID)) {
		if request := t.byID[id]; !request.closed {
			open = append(open, request)
		}
	}
	return open
}

// dropIfDone removes a request that is closed and has no attempt in flight.
func (t *requestTable) dropIfDone(request *request) {
	if request.closed && !request.hasAttemptInFlight() {
		delete(t.byID, request.id)
		delete(t.clientIDs, request.RequestID)
	}
}

// OpenRequests returns the number of requests whose clients wait for an answer.
func (b *Broker) OpenRequests() int { return b.requests.open }

// submit accepts a request or answers it immediately.
func (b *Broker) submit(now time.Duration, session *session, command SubmitRequest) {
	request := command.Request
	class, err := b.checkFields(request)
	if err != nil {
		session.evictFirst = true
		b.reply(session.id, Reply{Kind: ReplyInvalidFields, Text: err.Error()})
		return
	}
	switch {
	case request.SentAt < session.killedAt:
		// The query and its KILL arrive on two connections, and the KILL may be read first.
		b.reply(session.id, Reply{Kind: ReplyInterrupted, Text: queryKilledText})
	case b.shutdown.finalAnswersSent:
		b.reply(session.id, Reply{Kind: ReplyRejected, Text: shuttingDownText})
	case request.Timeout <= clientdeadline.TransitReserve && request.Timeout < class.LatencyObjective:
		// There is not enough time left to run the request, and only an immediate answer reaches the client in time.
		b.reply(session.id, Reply{Kind: ReplyRejected, Text: noTimeLeftText})
	case b.overload >= overload.RejectRequests:
		b.reply(session.id, Reply{Kind: ReplyRejected, Text: overloadText})
	case !b.memory.holdRequest(&request):
		b.reply(session.id, Reply{Kind: ReplyRejected, Text: noMemoryText})
	case !b.requestIDs.Claim(request.RequestID):
		b.memory.releaseRequest(&request)
		b.reply(session.id, Reply{Kind: ReplyInvalidFields, Text: errDuplicateRequestID.Error()})
	default:
		b.accept(now, session, class, command)
	}
}

// checkFields returns the class of a request, or an error if a field is invalid.
func (b *Broker) checkFields(request Request) (control.Class, error) {
	class, err := b.validator.check(request)
	if err == nil && b.requests.clientIDs[request.RequestID] {
		// Engines identify a request by this id alone, so its response could be mistaken for that of the other request.
		err = errDuplicateRequestID
	}
	return class, err
}

// sendTimes returns the request's times from which its deadline is computed.
func (c SubmitRequest) sendTimes() clientdeadline.Request {
	return clientdeadline.Request{
		SentAt:            c.Request.SentAt,
		EarliestSentAt:    c.EarliestSentAt,
		Timeout:           c.Request.Timeout,
		OrderKey:          c.Request.OrderKey,
		FirstOnConnection: c.Request.FirstOnConnection,
	}
}

// accept opens a request and adds it to the next batch of the decision module.
func (b *Broker) accept(now time.Duration, session *session, class control.Class, command SubmitRequest) {
	request := &request{
		Request:    command.Request,
		session:    session.id,
		acceptedAt: now,
		deadline:   b.deadlines.Deadline(command.sendTimes()),
		priority:   attemptoptions.MinPriority,
		class:      class,
	}
	b.requests.add(request)
	session.openRequest = request
	b.meter.RequestAccepted(&request.Request)
	b.trace(now, request, Transition{State: RequestAcceptedState})
	received := control.RequestReceived{Request: control.Request{
		ID:                request.moduleID,
		Class:             request.Class,
		Tenant:            request.Tenant,
		OrderKey:          request.OrderKey,
		DataSet:           request.DataSet,
		Deadline:          request.deadline,
		EstimatedWork:     request.EstimatedWork,
		EstimatedMemoryMB: request.EstimatedMemoryMB,
	}}
	b.batch.add(requestWithSentTime{received, request.SentAt})
}

// answer closes a request with its only answer. It does nothing if the request is closed.
func (b *Broker) answer(now time.Duration, request *request, reply Reply, cause EndCause) {
	if request.closed {
		return
	}
	b.closeRequest(request)
	b.requestIDs.Release(request.RequestID)
	b.reportAnswered(now, request, reply.Kind, cause)
	b.reply(request.session, reply)
	if session := b.sessions.byID[request.session]; session != nil {
		session.openRequest = nil
		if reply.Kind == ReplyResult {
			session.evictionEntry.Protect(now + b.memory.servedSessionGrace)
		}
		b.answeredSessions.Push(request.session)
	}
}

// abandon closes a request without a final answer, because its client disconnected or the request was killed.
func (b *Broker) abandon(now time.Duration, request *request, cause EndCause) {
	if request.closed {
		return
	}
	b.closeRequest(request)
	if !request.mayHaveRun() {
		b.requestIDs.Release(request.RequestID)
	}
	b.reportAbandoned(now, request, cause)
	b.batch.add(control.ClientDisconnected{RequestID: request.moduleID})
}

// closeRequest closes an open request.
func (b *Broker) closeRequest(request *request) {
	request.closed = true
	b.memory.releaseRequest(&request.Request)
	request.Body = "" // timers reference the request until its deadline, and bodies may be large
	b.requests.open--
	for _, attempt := range request.attempts {
		if attempt.awaitsFirstPage() {
			// The attempt may still wait for a connection or in a write buffer, and the settings may not allow the
			// decision module to cancel it.
			b.emit(CancelIfUnsent{attempt.id})
		}
	}
	b.requests.dropIfDone(request)
}
