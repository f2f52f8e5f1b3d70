package broker

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control"
	"wheatlane/internal/changelog"
)

const (
	ms        = time.Millisecond
	startTime = 1000 * time.Hour
)

func testSettings() control.Settings {
	return control.Settings{
		Brokers: 1, MinBatchInterval: 5 * ms,
		Classes: []control.Class{
			{Name: "lookup", LatencyObjective: 400 * ms, PriorityWeight: 1, Threads: 1},
			{
				Name: "load", LatencyObjective: 3 * time.Second, PriorityWeight: 20, Threads: 2, Idempotency: control.IdempotentWithKey, DedupWindow: 15 * time.Second,
				Ordered: true, LateWeight: 0.5, HoldsDataSetLock: true,
			},
		},
		EngineKinds: map[string]control.EngineKind{"std": {Cores: 8, MemoryMB: 16384}},
		Limits:      control.Limits{MaxAttempts: 4, Cancellation: true, Hedging: true, RetryAfter: true, MaxRetryAfter: 500 * ms},
	}
}

func endpoint(id, addr string, state control.EngineState) changelog.Endpoint {
	return changelog.Endpoint{Engine: control.Engine{ID: id, Kind: "std", State: state}, Addr: addr}
}

// harness drives a broker through time and keeps what it asks for.
type harness struct {
	t       *testing.T
	broker  *Broker
	now     time.Duration
	effects []Effect
}

func newHarness(t *testing.T, hosts ...changelog.Endpoint) *harness {
	return newHarnessWithSettings(t, testSettings(), hosts...)
}

func newHarnessWithSettings(t *testing.T, set control.Settings, hosts ...changelog.Endpoint) *harness {
	b, err := New(set, 1, 100)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, broker: b, now: startTime}
	for id := range Session(5) { // in every test they are there
		b.Apply(r.now, SessionOpened{id + 1})
		b.Apply(r.now, SessionAuthenticated{id + 1})
	}
	r.apply(EndpointChanges{changelog.Page{Revision: 1, Changes: []changelog.Change{{Revision: 1, Snapshot: true, Endpoints: hosts}}}})
	r.run(2 * testSettings().MinBatchInterval)
	return r
}

func (r *harness) apply(events ...Event) []Effect {
	from := len(r.effects)
	for _, ev := range events {
		r.effects = append(r.effects, r.broker.Apply(r.now, ev)...)
	}
	r.effects = append(r.effects, r.broker.Tick(r.now)...)
	return r.effects[from:]
}

// run lets time pass in steps of a millisecond.
func (r *harness) run(d time.Duration) []Effect {
	from := len(r.effects)
	for end := r.now + d; r.now < end; {
		r.now += ms
		r.effects = append(r.effects, r.broker.Tick(r.now)...)
	}
	return r.effects[from:]
}

func effectsOf[T Effect](effects []Effect) (out []T) {
	for _, e := range effects {
		if e, ok := e.(T); ok {
			out = append(out, e)
		}
	}
	return out
}

func (r *harness) submit(s Session, class, key string, allow time.Duration) []Effect {
	return r.apply(SubmitRequest{s, Request{
		RequestID: fmt.Sprintf("%016x", s), Class: class, OrderKey: key, IdempotencyKey: "op", SentAt: r.now,
		Timeout: allow, Body: "SELECT 1",
	}})
}

func (r *harness) replyKinds() (out []ReplyKind) {
	for _, reply := range effectsOf[Reply](r.effects) {
		out = append(out, reply.Kind)
	}
	return out
}

func (r *harness) expectReplies(kinds ...ReplyKind) {
	r.t.Helper()
	if diff := cmp.Diff(kinds, r.replyKinds()); diff != "" {
		r.t.Fatalf("replies (-want +got):\n%s", diff)
	}
}

// A result counts only once every page is in; what breaks it on the way costs an attempt, not the answer.
func TestResultAssembly(t *testing.T) {
	row := []byte("a\tb\tc\n")
	for name, c := range map[string]struct {
		events func(a AttemptID) []Event
		kinds  []ReplyKind
		wants  int // attempts made
		shut   int
	}{
		"whole at once": {func(a AttemptID) []Event { return []Event{AttemptServed{Attempt: a, PageCount: 1, Body: row}} }, []ReplyKind{ReplyResult}, 1, 0},
		"no rows":       {func(a AttemptID) []Event { return []Event{AttemptServed{Attempt: a, PageCount: 1}} }, []ReplyKind{ReplyResult}, 1, 0},
		"pages in any order": {func(a AttemptID) []Event {
			return []Event{AttemptServed{Attempt: a, PageCount: 3, Body: row}, PageReceived{a, 2, row}, PageReceived{a, 1, row}}
		}, []ReplyKind{ReplyResult}, 1, 0},
		"waits for its pages": {func(a AttemptID) []Event {
			return []Event{AttemptServed{Attempt: a, PageCount: 3, Body: row}, PageReceived{a, 2, row}}
		}, nil, 1, 0},
		"engine dies between pages": {func(a AttemptID) []Event {
			return []Event{AttemptServed{Attempt: a, PageCount: 2, Body: row}, AttemptEnded{Attempt: a, Status: control.ConnectionReset}}
		}, nil, 2, 0},
		"page lost": {func(a AttemptID) []Event {
			return []Event{AttemptServed{Attempt: a, PageCount: 2, Body: row}, AttemptEnded{Attempt: a, Status: control.Failed}}
		}, nil, 2, 0},
		"half a row": {func(a AttemptID) []Event {
			return []Event{AttemptServed{Attempt: a, PageCount: 1, Body: []byte("a\tb")}}
		}, nil, 2, 1},
		"a column short": {func(a AttemptID) []Event {
			return []Event{AttemptServed{Attempt: a, PageCount: 1, Body: []byte("a\tb\n")}}
		}, nil, 2, 1},
		"second copies": {func(a AttemptID) []Event {
			return []Event{
				AttemptServed{Attempt: a, PageCount: 3, Body: row},
				PageReceived{a, 1, nil},
				PageReceived{a, 1, nil},
				PageReceived{a, 0, row},
				AttemptServed{Attempt: a, PageCount: 1, Body: row},
				PageReceived{a, 2, row},
			}
		}, []ReplyKind{ReplyResult}, 1, 0},
		"two pages of one number": {func(a AttemptID) []Event {
			return []Event{AttemptServed{Attempt: a, PageCount: 3, Body: row}, PageReceived{a, 1, row}, PageReceived{a, 1, nil}}
		}, nil, 2, 1},
		"not text": {func(a AttemptID) []Event {
			return []Event{AttemptServed{Attempt: a, PageCount: 1, Body: []byte("a\tb\xff\tc\n")}}
		}, nil, 2, 1},
		"a page too long": {func(a AttemptID) []Event {
			return []Event{AttemptServed{Attempt: a, PageCount: 1, Body: bytes.Repeat(row, maxPageBytes/len(row)+1)}}
		}, nil, 2, 1},
		"too many pages": {func(a AttemptID) []Event {
			return []Event{AttemptServed{Attempt: a, PageCount: maxPages + 1, Body: row}}
		}, nil, 2, 1},
		"too large": {func(a AttemptID) []Event {
			events := []Event{AttemptServed{Attempt: a, PageCount: 10}}
			for n := range 9 {
				events = append(events, PageReceived{a, n + 1, bytes.Repeat(row, maxPageBytes/len(row))})
			}
			return events
		}, nil, 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, endpoint("e1", "127.0.0.1:1", control.Ready), endpoint("e2", "127.0.0.1:2", control.Ready))
			r.submit(1, "lookup", "", 2*time.Second)
			wants := effectsOf[StartAttempt](r.effects)
			if len(wants) != 1 {
				t.Fatalf("%d attempts", len(wants))
			}
			r.apply(c.events(wants[0].Attempt)...)
			r.run(20 * ms)
			r.expectReplies(c.kinds...)
			shut := 0
			for _, f := range effectsOf[ReleaseAttempt](r.effects) {
				if f.PagesLeft {
					shut++
				}
			}
			if got := len(effectsOf[StartAttempt](r.effects)); got != c.wants || shut != c.shut {
				t.Fatalf("%d attempts and %d shut, want %d and %d", got, shut, c.wants, c.shut)
			}
		})
	}
}

// Guards against an engine that falls silent between pages.
func TestMissingPageTimesOut(t *testing.T) {
	r := newHarness(t, endpoint("e1", "127.0.0.1:1", control.Ready), endpoint("e2", "127.0.0.1:2", control.Ready))
	r.submit(1, "load", "", 9*time.Second)
	r.apply(AttemptServed{Attempt: effectsOf[StartAttempt](r.effects)[0].Attempt, PageCount: 2, Body: []byte("a\tb\tc\n")})
	r.run(pageTimeout + 20*ms)
	if n := len(effectsOf[StartAttempt](r.effects)); n != 2 {
		t.Fatalf("%d attempts, want 2", n)
	}
}

// Every request gets one answer before its client gives up, whatever its attempt does, and none after a kill.
func TestExactlyOneAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(r *harness, a AttemptID)
		want []ReplyKind
	}{
		"silent engine": {func(r *harness, a AttemptID) {}, []ReplyKind{ReplyRejected}},
		"answer after the end": {func(r *harness, a AttemptID) {
			r.run(2 * time.Second)
			r.apply(AttemptServed{Attempt: a, PageCount: 1})
		}, []ReplyKind{ReplyRejected}},
		"two answers": {func(r *harness, a AttemptID) {
			r.apply(AttemptServed{Attempt: a, PageCount: 1}, AttemptServed{Attempt: a, PageCount: 1})
		}, []ReplyKind{ReplyResult}},
		"killed":        {func(r *harness, a AttemptID) { r.apply(Kill{RequestedBy: 2, Target: 1}) }, []ReplyKind{ReplyOK, ReplyInterrupted}},
		"client closed": {func(r *harness, a AttemptID) { r.apply(SessionClosed{1}) }, nil},
		"stopped":       {func(r *harness, a AttemptID) { r.apply(Shutdown{500 * ms}) }, []ReplyKind{ReplyRejected}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, endpoint("e1", "127.0.0.1:1", control.Ready))
			r.submit(1, "lookup", "", 2*time.Second)
			a := effectsOf[StartAttempt](r.effects)[0].Attempt
			c.do(r, a)
			r.run(2*time.Second - 1)
			r.expectReplies(c.want...)
			if r.broker.OpenRequests() != 0 {
				t.Fatalf("%d requests are owed an answer", r.broker.OpenRequests())
			}
			if len(effectsOf[CancelAttempt](r.effects)) == 0 && name != "two answers" {
				t.Fatal("its attempt was not called off")
			}
		})
	}
}

// Seen: a request that its client had held back, as another of its key was written just before, was answered
// by its own time of writing, after the client had left: its wait had begun when it was meant to be sent.
func TestClientWaitStartsWithItsKeyBurst(t *testing.T) {
	type write struct {
		at    time.Duration
		fresh bool
		key   string
	}
	for name, c := range map[string]struct {
		writes []write
		want   time.Duration // when the last one's wait is counted from
	}{
		"alone":                   {[]write{{0, false, "k"}}, 0},
		"long after":              {[]write{{0, false, "k"}, {200 * ms, false, "k"}}, 200 * ms},
		"close behind":            {[]write{{0, false, "k"}, {60 * ms, false, "k"}}, 0},
		"third of a train":        {[]write{{0, false, "k"}, {60 * ms, false, "k"}, {120 * ms, false, "k"}}, 0},
		"behind a new connection": {[]write{{0, true, "k"}, {250 * ms, false, "k"}}, 0},
		"another key":             {[]write{{0, false, "k"}, {60 * ms, false, "other"}}, 60 * ms},
		"no key":                  {[]write{{0, false, ""}, {60 * ms, false, ""}}, 60 * ms},
	} {
		b, err := New(testSettings(), 1, 100)
		if err != nil {
			t.Fatal(err)
		}
		var got time.Duration
		for _, w := range c.writes {
			got = b.keyBursts.clientWaitStart(Request{OrderKey: w.key, SentAt: startTime + w.at, FirstOnConnection: w.fresh})
		}
		if got != startTime+c.want {
			t.Errorf("%s: counted from %v, want %v", name, got-startTime, c.want)
		}
	}
}

// Requests of one key go to engines one at a time, in the order in which they were sent, also when they are
// read in another, and the next one not before the word that calls the last one off is there.
func TestOrderKeySerializesAttempts(t *testing.T) {
	r := newHarness(t, endpoint("e1", "127.0.0.1:1", control.Ready), endpoint("e2", "127.0.0.1:2", control.Ready))
	request := func(s Session, sent time.Duration) Event {
		return SubmitRequest{s, Request{RequestID: fmt.Sprint(s), Class: "load", OrderKey: "k", IdempotencyKey: "op", SentAt: sent, Timeout: 9 * time.Second}}
	}
	r.run(10 * ms)
	r.apply(request(3, r.now), request(2, r.now-80*ms), request(1, r.now-160*ms))
	var refs []string
	for range 3 {
		r.run(200 * ms)
		wants := effectsOf[StartAttempt](r.effects)
		last := wants[len(wants)-1]
		refs = append(refs, last.RequestID)
		r.apply(AttemptServed{Attempt: last.Attempt, PageCount: 1})
	}
	if diff := cmp.Diff([]string{"1", "2", "3"}, refs); diff != "" {
		t.Fatal(diff)
	}
	r.submit(4, "load", "k2", 9*time.Second)
	r.submit(5, "load", "k2", 9*time.Second)
	r.run(200 * ms)
	wants := effectsOf[StartAttempt](r.effects)
	first := wants[len(wants)-1]
	r.apply(SessionClosed{4})
	if r.run(10 * ms); len(effectsOf[CancelAttempt](r.effects)) != 1 || first.RequestID != fmt.Sprintf("%016x", 4) {
		t.Fatal("the one whose client left was not called off")
	}
	r.apply(AttemptEnded{Attempt: first.Attempt, Status: control.Cancelled})
	if r.run(settleDelay - ms); len(effectsOf[StartAttempt](r.effects)) != len(wants) {
		t.Fatal("the next one left before the word could be there")
	}
	r.run(200 * ms)
	if wants := effectsOf[StartAttempt](r.effects); wants[len(wants)-1].RequestID != fmt.Sprintf("%016x", 5) {
		t.Fatal("the next one was not sent")
	}
}

// A refusal is given only where that is true: of a request that may have run, only if its class allows it.
func TestAttemptEndStatus(t *testing.T) {
	for name, c := range map[string]struct {
		status control.Status
		pages  bool
		want   control.Status
	}{
		"refused connect": {control.ConnectFailed, false, control.ConnectFailed},
		"busy":            {control.AtCapacity, false, control.AtCapacity},
		// Guards against a BUSY for a page passing as proof that the query never ran.
		"busy for a page": {control.AtCapacity, true, control.Failed},
		"void for a page": {control.NeverSent, true, control.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, endpoint("e1", "127.0.0.1:1", control.Ready))
			r.submit(1, "lookup", "", 2*time.Second)
			a := effectsOf[StartAttempt](r.effects)[0].Attempt
			if c.pages {
				r.apply(AttemptServed{Attempt: a, PageCount: 2, Body: []byte("a\tb\tc\n")})
			}
			r.broker.Apply(r.now, AttemptEnded{Attempt: a, Status: c.status})
			told := r.broker.batch.events[len(r.broker.batch.events)-1].(control.AttemptEnded)
			if told.Status != c.want {
				t.Fatalf("told the module %v, want %v", told.Status, c.want)
			}
		})
	}
}

// Changes of the list: what drains gets nothing that has not left, what is gone or has lost its address is
// dropped, and a page that comes twice counts once.
func TestEndpointChanges(t *testing.T) {
	page := func(seq int64, whole bool, hosts ...changelog.Endpoint) Event {
		return EndpointChanges{changelog.Page{Revision: seq, Changes: []changelog.Change{{Revision: seq, Snapshot: whole, Endpoints: hosts}}}}
	}
	restarted := endpoint("e1", "127.0.0.1:1", control.Ready)
	restarted.StartedAt = startTime
	for name, c := range map[string]struct {
		change Event
		want   []Effect
	}{
		"drains":           {page(2, false, endpoint("e1", "127.0.0.1:1", control.Draining)), []Effect{CancelUnsent{"e1"}}},
		"gone":             {page(2, false, endpoint("e1", "127.0.0.1:1", control.Removed)), []Effect{CloseEngineConnections{Engine: "e1"}}},
		"restarted":        {page(2, false, restarted), []Effect{CloseEngineConnections{Engine: "e1", DialedBefore: restarted.StartedAt}}},
		"moved":            {page(2, false, endpoint("e1", "127.0.0.1:9", control.Ready)), []Effect{CloseEngineConnections{Engine: "e1"}}},
		"address passed":   {page(2, false, endpoint("e3", "127.0.0.1:1", control.Ready)), []Effect{CloseEngineConnections{Engine: "e1"}}},
		"left a whole one": {page(2, true, endpoint("e2", "127.0.0.1:2", control.Ready)), []Effect{CloseEngineConnections{Engine: "e1"}}},
		"known before":     {page(1, false, endpoint("e1", "127.0.0.1:1", control.Removed)), nil},
	} {
		r := newHarness(t, endpoint("e1", "127.0.0.1:1", control.Ready), endpoint("e2", "127.0.0.1:2", control.Ready))
		if diff := cmp.Diff(c.want, r.apply(c.change)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

// An engine whose address passes to another is gone: guards against sends to it that would reach the new one,
// which may be cold.
func TestAddressTakenOverByAnotherEngine(t *testing.T) {
	r := newHarness(t, endpoint("e1", "127.0.0.1:1", control.Ready))
	r.broker.Apply(r.now, EndpointChanges{changelog.Page{Revision: 2, Changes: []changelog.Change{{Revision: 2, Endpoints: []changelog.Endpoint{
		endpoint("e2", "127.0.0.1:1", control.Ready),
	}}}}})
	told := r.broker.batch.events[len(r.broker.batch.events)-1]
	if diff := cmp.Diff(control.EndpointUpdate{Engines: []control.Engine{{ID: "e1", State: control.Removed}, {ID: "e2", Kind: "std"}}}, told); diff != "" {
		t.Fatal(diff)
	}
	for id := range Session(5) {
		r.submit(id+1, "lookup", "", time.Second)
	}
	for _, w := range effectsOf[StartAttempt](r.run(50 * ms)) {
		if w.Engine != "e2" {
			t.Fatalf("%s got work at the address of e2", w.Engine)
		}
	}
	if n := len(effectsOf[StartAttempt](r.effects)); n != 5 {
		t.Fatalf("%d were sent, want 5", n)
	}
}

// A request that can't be meant is an error, and its session goes on.
func TestInvalidRequests(t *testing.T) {
	for name, c := range map[string]struct {
		change func(r *Request)
		want   ReplyKind
	}{
		"good":              {func(r *Request) {}, ReplyResult},
		"class":             {func(r *Request) { r.Class = "nonsense" }, ReplyInvalidFields},
		"tenant":            {func(r *Request) { r.Tenant = "nobody" }, ReplyInvalidFields},
		"time to wait":      {func(r *Request) { r.Timeout = time.Hour }, ReplyInvalidFields},
		"no key":            {func(r *Request) { r.Class = "load"; r.IdempotencyKey = "" }, ReplyInvalidFields},
		"id of an open one": {func(r *Request) { r.RequestID = "open" }, ReplyInvalidFields},
	} {
		t.Run(name, func(t *testing.T) {
			set := testSettings()
			set.Tenants = []control.Tenant{{Name: "acme", Share: 1}}
			set.Classes[0].ClientTimeout = 2 * time.Second
			b, err := New(set, 1, 100)
			if err != nil {
				t.Fatal(err)
			}
			r := &harness{t: t, broker: b, now: startTime}
			r.apply(SessionOpened{1}, SessionAuthenticated{1}, SessionOpened{2}, SessionAuthenticated{2}, EndpointChanges{changelog.Page{Revision: 1, Changes: []changelog.Change{
				{Revision: 1, Snapshot: true, Endpoints: []changelog.Endpoint{endpoint("e1", "127.0.0.1:1", control.Ready)}},
			}}})
			good := Request{RequestID: "open", Class: "lookup", Tenant: "acme", IdempotencyKey: "op", SentAt: r.now, Timeout: 2 * time.Second}
			r.apply(SubmitRequest{1, good})
			r.run(10 * ms)
			first := effectsOf[StartAttempt](r.effects)[0]
			next := good
			next.RequestID = "next"
			c.change(&next)
			r.apply(SubmitRequest{2, next})
			r.run(10 * ms)
			if wants := effectsOf[StartAttempt](r.effects); c.want == ReplyResult {
				r.apply(AttemptServed{Attempt: wants[1].Attempt, PageCount: 1})
			}
			r.expectReplies(c.want)
			r.apply(AttemptServed{Attempt: first.Attempt, PageCount: 1}, SubmitRequest{1, good}) // over, so its id is free
			r.expectReplies(c.want, ReplyResult)
			if b.OpenRequests() != 1 {
				t.Fatalf("%d are open, want 1", b.OpenRequests())
			}
		})
	}
}

// Guards against memory that grows where order keys are always new.
func TestKeyBurstsAreSwept(t *testing.T) {
	b, err := New(testSettings(), 1, 100)
	if err != nil {
		t.Fatal(err)
	}
	for n := range 10 * minBurstsToSweep {
		b.keyBursts.clientWaitStart(Request{OrderKey: fmt.Sprint(n), SentAt: startTime + time.Duration(n)*time.Second})
	}
	if len(b.keyBursts.byKey) > minBurstsToSweep {
		t.Fatalf("%d keys are remembered", len(b.keyBursts.byKey))
	}
}

// What a session asks is answered in order, also what comes ahead of an answer.
func TestSessionAnswersInOrder(t *testing.T) {
	r := newHarness(t, endpoint("e1", "127.0.0.1:1", control.Ready))
	r.apply(Ping{1})
	r.submit(1, "lookup", "", time.Second)
	r.apply(Ping{1}, SubmitRequest{1, Request{Class: "nonsense"}})
	r.expectReplies(ReplyOK)
	r.apply(AttemptServed{Attempt: effectsOf[StartAttempt](r.effects)[0].Attempt, PageCount: 1})
	r.expectReplies(ReplyOK, ReplyResult, ReplyOK, ReplyInvalidFields)
	r.apply(SubmitRequest{1, Request{Class: "load"}}, Kill{RequestedBy: 1, Target: 77}, Shutdown{time.Second}, Ping{1})
	r.expectReplies(ReplyOK, ReplyResult, ReplyOK, ReplyInvalidFields, ReplyInvalidFields, ReplyUnknownSession, ReplyNotReady)
	if len(effectsOf[CloseSession](r.effects)) > 0 {
		t.Fatal("the session was closed")
	}
	r.submit(2, "lookup", "", time.Second)
	for range maxQueuedCommands + 1 { // what a client asks ahead is bounded, as is what it may hold in memory
		r.apply(Ping{2})
	}
	if len(effectsOf[CloseSession](r.effects)) != 1 {
		t.Fatal("a session that asks too much ahead was not closed")
	}
}

func TestNotReadyWithoutEngines(t *testing.T) {
	r := newHarness(t, endpoint("e1", "127.0.0.1:1", control.Draining))
	r.apply(Ping{1})
	r.expectReplies(ReplyNotReady)
}

// Who makes room when there are as many sessions as may be: one that had time to log in and did not, else, of
// those that wait for no answer, one that talks nonsense, then the one that is idle longest, else one that may be
// about to log in. With all busy, one more is turned away.
func TestEvictionOrder(t *testing.T) {
	r := newHarness(t, endpoint("e1", "127.0.0.1:1", control.Ready))
	r.broker.sessions.max = 5 // all there
	r.submit(1, "lookup", "", time.Second)
	r.run(loginGrace)
	r.apply(Ping{2}, SubmitRequest{3, Request{Class: "nonsense"}}, Ping{4})
	r.apply(SessionOpened{10}) // 3 goes
	r.run(loginGrace)
	r.apply(SessionOpened{11})                           // 10 goes
	r.apply(SessionOpened{12}, SessionAuthenticated{12}) // 5 goes, as 11 may be about to log in
	for _, id := range []Session{2, 4, 12} {
		r.submit(id, "lookup", "", time.Second)
	}
	r.apply(SessionOpened{13}, SessionAuthenticated{13}) // 11 goes
	r.submit(13, "lookup", "", time.Second)
	if diff := cmp.Diff([]CloseSession{{3, CloseEvictedIdle}, {10, CloseEvictedIdle}, {5, CloseEvictedIdle}, {11, CloseEvictedIdle}}, effectsOf[CloseSession](r.effects)); diff != "" {
		t.Fatal(diff)
	}
	if late := r.apply(Ping{10}); len(late) != 0 {
		t.Fatalf("a session that was closed got %v", late)
	}
	if diff := cmp.Diff([]Effect{
		Reply{Session: 14, Kind: ReplyTooManySessions, Text: "too many connections"},
		CloseSession{14, CloseTooManySessions},
	}, r.apply(SessionOpened{14})); diff != "" {
		t.Fatal(diff)
	}
}
