package broker

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"wheatlane/control"
	"wheatlane/control/idempotency"
	"wheatlane/internal/changelog"
)

const (
	ms        = time.Millisecond
	startTime = 1000 * time.Hour
)

const (
	addr1 = "127.0.0.1:1"
	addr2 = "127.0.0.1:2"
)

// row is a result page with one row.
var row = []byte("a\tb\tc\n")

// testSettings returns settings of a single broker with most features enabled. The class "lookup" is idempotent; "load"
// is ordered and requires an idempotency key.
func testSettings() control.Settings {
	return control.Settings{
		Brokers: 1, MinBatchInterval: 5 * ms,
		Classes: []control.Class{
			{Name: "lookup", LatencyObjective: 400 * ms, PriorityWeight: 1, Threads: 1},
			{
				Name: "load", LatencyObjective: 3 * time.Second, PriorityWeight: 20, LateWeight: 0.5, Threads: 2,
				Idempotency: idempotency.Policy{Kind: idempotency.IdempotentWithKey, DedupWindow: 15 * time.Second},
				Ordered:     true, HoldsDataSetLock: true,
			},
		},
		EngineKinds: map[string]control.EngineKind{"std": {Cores: 8, MemoryMB: 16384}},
		Limits: control.Limits{
			MaxAttempts: 4, Cancellation: true, Hedging: true, RetryAfter: true, MaxRetryAfter: 500 * ms,
		},
	}
}

func endpoint(id, addr string, state control.EngineState) changelog.Endpoint {
	return changelog.Endpoint{Engine: control.Engine{ID: id, Kind: "std", State: state}, Addr: addr}
}

// engine1 and engine2 return two engines in service.
func engine1() changelog.Endpoint { return endpoint("e1", addr1, control.Ready) }
func engine2() changelog.Endpoint { return endpoint("e2", addr2, control.Ready) }

// delta returns a page of the change log with one change.
func delta(revision int64, endpoints ...changelog.Endpoint) EndpointChanges {
	change := changelog.Change{Revision: revision, Endpoints: endpoints}
	return EndpointChanges{Page: changelog.Page{Revision: revision, Changes: []changelog.Change{change}}}
}

// snapshot returns a page of the change log with a complete endpoint list.
func snapshot(revision int64, endpoints ...changelog.Endpoint) EndpointChanges {
	changes := delta(revision, endpoints...)
	changes.Page.Changes[0].Snapshot = true
	return changes
}

// harness drives a broker with simulated time and collects its effects. Sessions 1 to 5 are open.
type harness struct {
	t       *testing.T
	broker  *Broker
	now     time.Duration
	effects []Effect
}

func newHarness(t *testing.T, endpoints ...changelog.Endpoint) *harness {
	t.Helper()
	return newHarnessWithSettings(t, testSettings(), endpoints...)
}

func newHarnessWithSettings(
	t *testing.T, settings control.Settings, endpoints ...changelog.Endpoint,
) *harness {
	t.Helper()
	b, err := New(settings, 1, 100)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, broker: b, now: startTime}
	for id := range Session(5) {
		b.Apply(h.now, SessionOpened{id + 1})
		b.Apply(h.now, SessionAuthenticated{id + 1})
	}
	h.apply(snapshot(1, endpoints...))
	h.run(2 * testSettings().MinBatchInterval)
	return h
}

// apply applies events, calls Tick and returns the effects of both.
func (h *harness) apply(events ...Event) []Effect {
	from := len(h.effects)
	for _, event := range events {
		h.effects = append(h.effects, h.broker.Apply(h.now, event)...)
	}
	h.effects = append(h.effects, h.broker.Tick(h.now)...)
	return h.effects[from:]
}

// run advances the time in steps of 1 ms, calls Tick at each step and returns the effects.
func (h *harness) run(d time.Duration) []Effect {
	from := len(h.effects)
	for end := h.now + d; h.now < end; {
		h.now += ms
		h.effects = append(h.effects, h.broker.Tick(h.now)...)
	}
	return h.effects[from:]
}

// submit applies a request whose id is derived from its session.
func (h *harness) submit(s Session, class, orderKey string, timeout time.Duration) []Effect {
	return h.apply(SubmitRequest{Session: s, Request: Request{
		RequestID: requestID(s), Class: class, OrderKey: orderKey, IdempotencyKey: "op", SentAt: h.now,
		Timeout: timeout, Body: "SELECT 1",
	}})
}

func requestID(s Session) string { return fmt.Sprintf("%016x", s) }

// started returns all attempts started so far.
func (h *harness) started() []StartAttempt { return effectsOf[StartAttempt](h.effects) }

// onlyAttempt returns the only attempt started so far. It fails the test if there is not exactly one.
func (h *harness) onlyAttempt() AttemptID {
	h.t.Helper()
	started := h.started()
	if len(started) != 1 {
		h.t.Fatalf("%d attempts were started, want 1", len(started))
	}
	return started[0].Attempt
}

// expectReplies fails the test if the replies so far are not of the given kinds, in order.
func (h *harness) expectReplies(kinds ...ReplyKind) {
	h.t.Helper()
	replies := effectsOf[Reply](h.effects)
	got := make([]ReplyKind, len(replies))
	for i, reply := range replies {
		got[i] = reply.Kind
	}
	if diff := cmp.Diff(kinds, got, cmpopts.EquateEmpty()); diff != "" {
		h.t.Fatalf("replies (-want +got):\n%s", diff)
	}
}

// lastModuleEvent returns the last event in the decision module's next batch.
func (h *harness) lastModuleEvent() control.Event {
	return h.broker.batch.events[len(h.broker.batch.events)-1]
}

// effectsOf returns the effects of one type.
func effectsOf[T Effect](effects []Effect) (out []T) {
	for _, e := range effects {
		if e, ok := e.(T); ok {
			out = append(out, e)
		}
	}
	return out
}

// startedOn returns the engines that attempts were sent to.
func startedOn(effects []Effect) (engines []string) {
	for _, start := range effectsOf[StartAttempt](effects) {
		engines = append(engines, start.Engine)
	}
	return engines
}
