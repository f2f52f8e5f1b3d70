package broker

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"wheatlane/control"
	"wheatlane/internal/changelog"
	"wheatlane/internal/config"
)

// The behaviour of the reducer, with the real decision module behind it, is pinned by one hash for each deployment:
// of every effect that it returned, every call of its meter and what it answered about itself, over seeded random
// sequences of events. The encoding is neutral: kinds are numbered here, and values are written by reflection in the
// order of their fields, so that renamed types and fields leave the hashes as they are. Of a log line only its kind
// counts. Nothing is sorted: effects are compared in the order in which they were returned.
var behaviors = []struct {
	name     string
	settings func(t *testing.T) control.Settings
	clients  int // sessions that the broker allows; some more connect
	engines  int
	want     string
}{
	{"ledger", fromFile("ledger.json"), 24, 7, "39207c5b2aae58e2d5267d2d2c3cd331f3179b8e409fdffc7252dd351cf02504"},
	{"shortline", fromFile("shortline.json"), 24, 7, "dc8eff8b6c2cac53b94247285af77daeb8da77d7c64d4c37e9055f26a1998ccb"},
	{"small", smallDeployment, 8, 2, "2fc33fadbbea6e915a0f855f75a739cbd69c53561ab90b0a4d478264ca0936ca"},
	{"large", largeDeployment, 96, 40, "fee37fdab09ae12f7f137fc64d5a0b8e5132a918ccff83f144acdb38404f2feb"},
}

const (
	behaviorSeeds = 6
	behaviorSteps = 6000
)

func TestBehaviorIsUnchanged(t *testing.T) {
	t.Parallel()
	seen := map[string]int{}
	for _, c := range behaviors {
		t.Run(c.name, func(t *testing.T) {
			sum := sha256.New()
			for seed := range uint64(behaviorSeeds) {
				s := newSimulation(t, c.settings(t), seed, c.clients, c.engines, sum)
				s.run(behaviorSteps)
				for name, n := range s.seen {
					seen[name] += n
				}
			}
			if got := hex.EncodeToString(sum.Sum(nil)); got != c.want {
				t.Errorf("hash of all effects: got %s, want %s", got, c.want)
			}
		})
	}
	t.Logf("what came: %v", seen)
	// A hash says little of what never happened.
	for kind := range lastEffectKind {
		if name := fmt.Sprint("effect ", kind+1); seen[name] == 0 {
			t.Errorf("%s never came", name)
		}
	}
	for kind := ReplyResult; kind <= ReplyTooManySessions; kind++ {
		if name := fmt.Sprint("reply ", int(kind)); seen[name] == 0 {
			t.Errorf("%s never came", name)
		}
	}
	for why := CloseKilled; why <= CloseTooManySessions; why++ {
		if name := fmt.Sprint("close ", int(why)); seen[name] == 0 {
			t.Errorf("%s never came", name)
		}
	}
}

// The numbers of the kinds of effects and meter calls in the hashes.
const (
	lastEffectKind   = 14
	logLineKind      = 14
	firstMeterKind   = 100
	stateKind        = 200
	bytesOfOneNumber = 8
)

func effectKind(e Effect) int {
	switch e.(type) {
	case Reply:
		return 1
	case AdmitSession:
		return 2
	case CloseSession:
		return 3
	case StartAttempt:
		return 4
	case FetchPage:
		return 5
	case CancelAttempt:
		return 6
	case WithdrawUnsent:
		return 7
	case ReleaseAttempt:
		return 8
	case SetPriority:
		return 9
	case ProbeLoad:
		return 10
	case SendGossip:
		return 11
	case CancelUnsent:
		return 12
	case CloseEngineConnections:
		return 13
	case LogLine:
		return logLineKind
	}
	panic(fmt.Sprintf("an effect without a number: %T", e))
}

// recorder writes what happens into a hash.
type recorder struct{ sum hash.Hash }

func (r recorder) number(v uint64) {
	var buf [bytesOfOneNumber]byte
	binary.LittleEndian.PutUint64(buf[:], v)
	r.sum.Write(buf[:]) //nolint:errcheck // a hash takes all
}

// value writes a value by its kind: integers and booleans as 64 bits, floats by their bit pattern, text and lists
// with their lengths, structs field by field without a mark.
func (r recorder) value(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		bit := uint64(0)
		if v.Bool() {
			bit = 1
		}
		r.number(bit)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		r.number(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		r.number(v.Uint())
	case reflect.Float64:
		r.number(math.Float64bits(v.Float()))
	case reflect.String:
		r.number(uint64(v.Len()))
		r.sum.Write([]byte(v.String())) //nolint:errcheck // a hash takes all
	case reflect.Slice:
		r.number(uint64(v.Len()))
		for i := range v.Len() {
			r.value(v.Index(i))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			r.value(v.Field(i))
		}
	case reflect.Pointer:
		r.value(v.Elem())
	default:
		panic("no encoding for a " + v.Kind().String())
	}
}

func (r recorder) record(kind int, values ...any) {
	r.number(uint64(kind))
	for _, v := range values {
		r.value(reflect.ValueOf(v))
	}
}

// The recorder is also the meter of the reducer.

func (r recorder) RequestAccepted(q *Request)    { r.record(firstMeterKind, q) }
func (r recorder) RequestRejected(k ReplyKind)   { r.record(firstMeterKind+1, k) }
func (r recorder) AttemptStarted(class string)   { r.record(firstMeterKind+2, class) }
func (r recorder) RequestEnded(o RequestSummary) { r.record(firstMeterKind+3, o) }
func (r recorder) AttemptEnded(o AttemptSummary) { r.record(firstMeterKind+4, o) }

// fromFile reads the settings object of a deployment from testdata, as a broker does.
func fromFile(name string) func(t *testing.T) control.Settings {
	return func(t *testing.T) control.Settings {
		t.Helper()
		text, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		s, err := config.DecodeSettings(text)
		if err != nil {
			t.Fatal(err)
		}
		return s.Control
	}
}

// smallDeployment is one broker with two small engines, where nearly everything is allowed.
func smallDeployment(*testing.T) control.Settings {
	return control.Settings{
		Brokers: 1, MinBatchInterval: 2 * ms, MemoryGrants: true, Priorities: true, MaxGrantFraction: 0.5, ReportsCost: true, WeightByWork: true,
		ReportFields: []string{"util", "queue"},
		Classes: []control.Class{
			{Name: "lookup", LatencyObjective: 300 * ms, ClientTimeout: time.Second, ObjectivePerWork: 1, PriorityWeight: 9, LateWeight: 0.1, Threads: 1, BlockedByDataSetLock: true},
			{Name: "report", LatencyObjective: time.Second, ClientTimeout: 4 * time.Second, ObjectivePerWork: 2, PriorityWeight: 9, LateWeight: 0.4, Threads: 1},
			{
				Name: "load", LatencyObjective: 2 * time.Second, ClientTimeout: 9 * time.Second, ObjectivePerWork: 2, PriorityWeight: 2, LateWeight: 0.5, Threads: 2,
				Idempotency: control.IdempotentWithKey, DedupScope: control.DedupScopeZone, DedupWindow: 5 * time.Second, Ordered: true, HoldsDataSetLock: true,
			},
			{Name: "payment", LatencyObjective: time.Second, ClientTimeout: 3 * time.Second, PriorityWeight: 2, Threads: 1, Idempotency: control.NonIdempotent},
		},
		EngineKinds: map[string]control.EngineKind{"std": {Cores: 4, MemoryMB: 4096}},
		Limits: control.Limits{
			MaxAttempts: 4, Cancellation: true, Hedging: true, LoadProbes: true, RetryAfter: true,
			MaxRetryAfter: 500 * ms,
		},
		Rules: control.Rules{
			MaxPollInterval: time.Second, SlowStartInitial: 0.3, SlowStartDuration: 5 * time.Second, OverloadMultiple: 2,
			OverloadWindow: time.Second, KeyCooldown: 100 * ms, RetryBudgetWindow: 5 * time.Second, RetryBudgetRatio: 0.3, RetryBudgetReserve: 10,
		},
	}
}

// largeDeployment is one of sixty brokers with many engines of two kinds in three zones and six tenants; attempts can't be
// called off there.
func largeDeployment(*testing.T) control.Settings {
	set := control.Settings{
		Brokers: 60, BrokerIndex: 7, Zone: "zone-1", MinBatchInterval: 10 * ms, ReportsCost: true, ProgressInterval: time.Second, Priorities: true,
		ReportFields: []string{"util", "inflight"},
		Classes: []control.Class{
			{Name: "view", LatencyObjective: 500 * ms, ClientTimeout: 2 * time.Second, ObjectivePerWork: 1.5, PriorityWeight: 5, LateWeight: 0.2, Threads: 1},
			{
				Name: "export", LatencyObjective: 3 * time.Second, ClientTimeout: 12 * time.Second, ObjectivePerWork: 2, PriorityWeight: 5, LateWeight: 0.5, Threads: 4,
				AllowedKinds: []string{"big"},
			},
			{
				Name: "update", LatencyObjective: time.Second, ClientTimeout: 6 * time.Second, PriorityWeight: 8, LateWeight: 0.3, Threads: 1,
				Idempotency: control.IdempotentWithKey, DedupWindow: 10 * time.Second, Ordered: true, AllowedZones: []string{"zone-0", "zone-1"},
			},
		},
		EngineKinds: map[string]control.EngineKind{"std": {Cores: 8, MemoryMB: 16384}, "big": {Cores: 16, MemoryMB: 65536}},
		Limits: control.Limits{
			MaxAttempts: 3, Hedging: true, LoadProbes: true, Gossip: true, RetryAfter: true,
			MaxRetryAfter: time.Second,
		},
		Rules: control.Rules{
			MaxPollInterval: 2 * time.Second, SlowStartInitial: 0.35, SlowStartDuration: 10 * time.Second, OverloadMultiple: 3,
			OverloadWindow: 2 * time.Second, KeyCooldown: 200 * ms, RetryBudgetWindow: 10 * time.Second, RetryBudgetRatio: 0.1, RetryBudgetReserve: 5,
		},
	}
	for n := range 6 {
		set.Tenants = append(set.Tenants, control.Tenant{Name: fmt.Sprint("tenant-", n), Share: float64(n+1) / 21, Quota: float64(10 * (n + 1))})
	}
	return set
}

// simulation is a broker among random clients, engines, peers and a change log.
type simulation struct {
	recorder
	t           *testing.T
	rng         *rand.Rand
	broker      *Broker
	set         control.Settings
	now         time.Duration
	limit       int // sessions that the broker allows
	clients     []*simulatedClient
	lastSession Session
	refs        int
	engines     []*simulatedEngine
	lastEngine  int
	sequence    int64
	attempts    []simulatedAttempt
	scheduled   []scheduledEvent // by time, and by the order of scheduling within one
	seen        map[string]int
}

type simulatedClient struct {
	session  Session
	admitted bool
	waiting  int // commands without an answer
}

type simulatedEngine struct {
	changelog.Endpoint
	mode engineMode
}

// engineMode is how an engine behaves for a while.
type engineMode int

const (
	healthy engineMode = iota
	slow
	silent
	failing
)

type simulatedAttempt struct {
	id     AttemptID
	engine string
	sentAt time.Duration
}

type scheduledEvent struct {
	at    time.Duration
	event Event
}

func newSimulation(t *testing.T, set control.Settings, seed uint64, clients, engines int, sum hash.Hash) *simulation {
	t.Helper()
	b, err := New(set, seed, clients)
	if err != nil {
		t.Fatal(err)
	}
	s := &simulation{
		recorder: recorder{sum}, t: t, rng: rand.New(rand.NewPCG(seed, 17)), broker: b, set: set, now: startTime, limit: clients,
		seen: map[string]int{},
	}
	b.SetMeter(s.recorder)
	for range engines {
		s.engines = append(s.engines, s.newEngine())
	}
	s.publish(true, s.listed()...)
	for range clients {
		s.connect()
	}
	return s
}

// chance is true with a probability of so many percent.
func (s *simulation) chance(percent int) bool { return s.rng.IntN(100) < percent }

// between is a random time from low to high.
func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)+1))
}

// run takes so many random steps, then stops the broker and waits until it is done.
func (s *simulation) run(steps int) {
	s.t.Helper()
	for range steps {
		s.step()
		if s.chance(70) {
			s.act()
		}
	}
	if s.chance(70) {
		s.apply(Shutdown{Within: 400 * ms})
	} else {
		s.apply(SendFinalAnswers{})
	}
	for range 400 {
		s.step()
		if s.chance(20) {
			s.act()
		}
	}
	if open := s.broker.OpenRequests(); open != 0 {
		s.t.Errorf("%d requests are owed an answer at the end", open)
	}
}

// step lets time pass, delivers what is due and ticks the broker.
func (s *simulation) step() {
	s.now += s.between(0, 5*ms)
	for len(s.scheduled) > 0 && s.scheduled[0].at <= s.now {
		event := s.scheduled[0].event
		s.scheduled = s.scheduled[1:]
		s.apply(event)
	}
	s.react(s.broker.Tick(s.now))
	next, ok := s.broker.NextDeadline()
	s.record(stateKind, next, ok, s.broker.OpenRequests(), s.broker.Ready(), s.broker.UnavailableEngines(), s.broker.EndpointCount(), s.broker.SessionCount(),
		s.broker.LastRevision(), s.broker.EnginesInMaintenance())
}

func (s *simulation) apply(event Event) {
	switch ev := event.(type) {
	case SubmitRequest:
		if c := s.client(ev.Session); c != nil {
			c.waiting++
		}
	case AttemptEnded:
		s.endAttempt(ev.Attempt)
	case SessionClosed:
		s.forgetClient(ev.Session)
	}
	s.react(s.broker.Apply(s.now, event))
}

func (s *simulation) schedule(after time.Duration, event Event) {
	at := s.now + after
	i := sort.Search(len(s.scheduled), func(i int) bool { return s.scheduled[i].at > at })
	s.scheduled = slices.Insert(s.scheduled, i, scheduledEvent{at, event})
}

// react records effects and plays the part of whom they are for.
func (s *simulation) react(effects []Effect) {
	for _, e := range effects {
		kind := effectKind(e)
		s.seen[fmt.Sprint("effect ", kind)]++
		if kind == logLineKind {
			s.record(kind)
			continue
		}
		s.record(kind, e)
		s.reactToClientEffect(e)
		s.reactToEngineEffect(e)
	}
}

func (s *simulation) reactToClientEffect(e Effect) {
	switch e := e.(type) {
	case Reply:
		s.seen[fmt.Sprint("reply ", int(e.Kind))]++
		if c := s.client(e.Session); c != nil {
			c.waiting--
		}
	case AdmitSession:
		if s.chance(90) {
			s.schedule(s.between(0, 20*ms), SessionAuthenticated{e.Session})
		}
		s.client(e.Session).admitted = true
	case CloseSession:
		s.seen[fmt.Sprint("close ", int(e.Reason))]++
		s.forgetClient(e.Session)
	}
}

func (s *simulation) reactToEngineEffect(e Effect) {
	switch e := e.(type) {
	case StartAttempt:
		s.attempts = append(s.attempts, simulatedAttempt{e.Attempt, e.Engine, s.now})
		s.serve(e)
	case FetchPage:
		s.servePage(e)
	case CancelAttempt:
		if s.chance(95) {
			s.schedule(s.between(0, 4*ms), AttemptEnded{Attempt: e.Attempt, Status: control.Cancelled})
		} else { // its answer crosses the word
			s.schedule(0, AttemptServed{Attempt: e.Attempt, PageCount: 1, Work: 5 * ms, Body: s.rows(1)})
			s.schedule(3*ms, AttemptEnded{Attempt: e.Attempt, Status: control.Cancelled})
		}
	case WithdrawUnsent:
		if s.chance(30) {
			s.schedule(0, AttemptEnded{Attempt: e.Attempt, Status: control.NeverSent})
		}
	case ReleaseAttempt:
		s.endAttempt(e.Attempt)
	case ProbeLoad:
		s.answerProbe(e)
	case CancelUnsent:
		for _, a := range s.attempts {
			if a.engine == e.Engine && s.chance(20) {
				s.schedule(0, AttemptEnded{Attempt: a.id, Status: control.NeverSent})
			}
		}
	case CloseEngineConnections:
		shared := false
		for _, a := range s.attempts {
			if a.engine == e.Engine && (e.DialedBefore == 0 || a.sentAt < e.DialedBefore) {
				s.schedule(0, AttemptEnded{Attempt: a.id, Status: control.ConnectionReset, SharedCause: shared})
				shared = true
			}
		}
	}
}

func (s *simulation) endAttempt(id AttemptID) {
	s.attempts = slices.DeleteFunc(s.attempts, func(a simulatedAttempt) bool { return a.id == id })
}

func (s *simulation) forgetClient(id Session) {
	s.clients = slices.DeleteFunc(s.clients, func(c *simulatedClient) bool { return c.session == id })
}

// rows is a good page of a result.
func (s *simulation) rows(n int) []byte {
	return []byte(strings.Repeat(fmt.Sprintf("%d\tb\tc\n", s.rng.IntN(1000)), n))
}

// spoilt is a page that can't be used.
func (s *simulation) spoilt() []byte {
	return [][]byte{[]byte("a\tb\n"), []byte("a\tb\tc"), []byte("a\xff\tb\tc\n"), s.rows(1500)}[s.rng.IntN(4)]
}

func (s *simulation) report() []float64 {
	if s.chance(10) {
		return nil
	}
	return []float64{s.rng.Float64() * 1.3, s.rng.Float64() * 4}
}

func (s *simulation) modeOf(engine string) engineMode {
	for _, e := range s.engines {
		if e.ID == engine {
			return e.mode
		}
	}
	return silent
}

// serve plays an engine that gets an attempt.
func (s *simulation) serve(w StartAttempt) {
	work := s.between(3*ms, 60*ms)
	took := s.between(2*ms, 12*ms) + work
	luck := s.rng.IntN(100)
	ended := func(after time.Duration, status control.Status) {
		s.schedule(after, AttemptEnded{Attempt: w.Attempt, Status: status, Report: s.report()})
	}
	switch s.modeOf(w.Engine) {
	case slow:
		took *= 8
	case silent:
		return
	case failing:
		if luck >= 30 {
			ended(s.between(0, 5*ms), control.Failed)
			return
		}
	case healthy:
	}
	pages := 1
	if s.chance(30) {
		pages += s.rng.IntN(4)
	}
	served := AttemptServed{
		Attempt: w.Attempt, PageCount: pages, Work: work, MemoryMB: float64(s.rng.IntN(200)), Report: s.report(),
		Body: s.rows(1 + s.rng.IntN(5)),
	}
	switch {
	case luck < 3:
		ended(s.between(0, 130*ms), control.ConnectFailed)
	case luck < 6:
		ended(s.between(0, 4*ms), control.AtCapacity)
	case luck < 8:
		ended(took, control.Failed)
	case luck < 9:
		ended(took, control.ConnectionReset)
	case luck < 10:
		ended(0, control.NeverSent)
	case luck < 12: // lost
	case luck < 13:
		served.Body = s.spoilt()
		s.schedule(took, served)
	case luck < 14:
		served.PageCount = s.rng.IntN(2) * 65
		s.schedule(took, served)
	default:
		s.schedule(took, served)
		if pages > 1 && s.chance(4) { // it dies between pages
			ended(took+6*ms, []control.Status{control.ConnectionReset, control.AtCapacity, control.NeverSent, control.Failed}[s.rng.IntN(4)])
		}
	}
}

func (s *simulation) servePage(p FetchPage) {
	page := PageReceived{Attempt: p.Attempt, Number: p.Page, Body: s.rows(s.rng.IntN(40))}
	after := s.between(1*ms, 15*ms)
	switch luck := s.rng.IntN(100); {
	case luck < 4: // lost
	case luck < 6:
		page.Body = s.spoilt()
		s.schedule(after, page)
	case luck < 8:
		page.Number = s.rng.IntN(7) - 1
		s.schedule(after, page)
	case luck < 12: // twice
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

// act lets one random thing happen.
func (s *simulation) act() {
	client := s.anyClient()
	switch luck := s.rng.IntN(1000); {
	case luck < 60:
		s.connect()
	case luck < 750:
		s.submit(client)
	case luck < 800:
		s.apply(Ping{client})
	case luck < 810:
		s.apply(InvalidRequest{client, Reply{Kind: []ReplyKind{ReplyUnknownCommand, ReplyUnknownDatabase}[s.rng.IntN(2)], Text: "not known here"}})
	case luck < 840:
		s.kill(client)
	case luck < 865:
		s.apply(SessionClosed{client})
	case luck < 875:
		s.apply(SessionHalfClosed{client})
		s.forgetClient(client)
	case luck < 895:
		s.receiveGossip()
	case luck < 925:
		s.changeList()
	case luck < 980:
		s.engines[s.rng.IntN(len(s.engines))].mode = engineMode(max(0, s.rng.IntN(7)-3))
	case luck < 990:
		s.maintain()
	case luck < 993:
		s.reload()
	case luck < 995:
		s.crowd()
	default:
		s.now += s.between(0, 300*ms)
	}
}

// anyClient is a session that has been admitted and mostly one that waits for nothing; 0 if none is found.
func (s *simulation) anyClient() Session {
	for range 4 {
		if len(s.clients) == 0 {
			return 0
		}
		c := s.clients[s.rng.IntN(len(s.clients))]
		if c.admitted && (c.waiting <= 0 || s.chance(10)) {
			return c.session
		}
	}
	return 0
}

func (s *simulation) client(id Session) *simulatedClient {
	for _, c := range s.clients {
		if c.session == id {
			return c
		}
	}
	return nil
}

func (s *simulation) connect() {
	s.lastSession++
	s.clients = append(s.clients, &simulatedClient{session: s.lastSession})
	s.apply(SessionOpened{s.lastSession})
}

// crowd lets all clients wait for an answer as two more come.
func (s *simulation) crowd() {
	s.apply(UpdateSettings{s.set})
	for s.broker.SessionCount() < s.limit {
		s.connect()
	}
	for _, c := range slices.Clone(s.clients) {
		s.apply(SubmitRequest{c.session, s.request()})
	}
	s.connect()
	s.connect()
}

// request is one that a client may ask for.
func (s *simulation) request() Request {
	class := s.set.Classes[s.rng.IntN(len(s.set.Classes))]
	s.refs++
	r := Request{
		RequestID: fmt.Sprintf("%016x", s.refs), Class: class.Name, DataSet: s.rng.IntN(6), SentAt: s.now - s.between(0, 10*ms),
		FirstOnConnection: s.chance(20), Timeout: time.Duration(float64(class.ClientTimeout) * (0.2 + 0.8*s.rng.Float64())), IsRetry: s.chance(10), Body: "SELECT 1",
	}
	if len(s.set.Tenants) > 0 {
		r.Tenant = s.set.Tenants[s.rng.IntN(len(s.set.Tenants))].Name
	}
	if class.Idempotency == control.IdempotentWithKey {
		r.IdempotencyKey = fmt.Sprint("op-", s.refs)
	}
	if class.Ordered {
		r.OrderKey = fmt.Sprint("key-", s.rng.IntN(12))
	}
	if s.chance(40) {
		r.EstimatedWork, r.EstimatedMemoryMB = s.between(5*ms, 80*ms), float64(s.rng.IntN(300))
	}
	return r
}

// submit sends a request, now and then with a field that can't be used or with little time.
func (s *simulation) submit(client Session) {
	r := s.request()
	switch s.rng.IntN(60) {
	case 0:
		r.Class = "nonsense"
	case 1:
		r.Tenant = "nobody"
	case 2:
		r.Timeout = time.Hour
	case 3:
		r.IdempotencyKey = ""
	case 4:
		r.RequestID = fmt.Sprintf("%016x", s.refs-1-s.rng.IntN(3))
	case 5:
		r.Timeout = s.between(0, 20*ms)
	case 6:
		r.SentAt -= s.between(0, 100*ms)
	}
	s.apply(SubmitRequest{client, r})
}

func (s *simulation) kill(target Session) {
	if s.chance(20) {
		target += 1000
	}
	s.apply(Kill{RequestedBy: s.anyClient(), Target: target, CloseConnection: s.chance(30), SentAt: s.now - s.between(0, 5*ms)})
}

func (s *simulation) receiveGossip() {
	var reports []control.LoadReport
	for range 1 + s.rng.IntN(3) {
		e := s.engines[s.rng.IntN(len(s.engines))]
		reports = append(reports, control.LoadReport{Engine: control.EngineHash(e.ID), Load: s.rng.Float64(), Age: s.between(0, 200*ms)})
	}
	s.apply(GossipReceived{Broker: s.rng.IntN(max(1, s.set.Brokers)), Reports: reports})
}

func (s *simulation) maintain() {
	id := s.engines[s.rng.IntN(len(s.engines))].ID
	switch s.rng.IntN(5) {
	case 0:
		s.apply(StartMaintenance{id})
	case 1:
		s.apply(RestoreMaintenance{[]string{id, fmt.Sprintf("engine-%03d", s.lastEngine+1)}})
	default:
		for _, down := range s.broker.EnginesInMaintenance() {
			s.apply(EndMaintenance{down})
		}
	}
}

// reload puts settings in force that differ in one class.
func (s *simulation) reload() {
	set := s.set
	set.Classes = slices.Clone(set.Classes)
	i := s.rng.IntN(len(set.Classes))
	switch s.rng.IntN(4) {
	case 0:
		set.Classes[i].ClientTimeout /= 2
	case 1:
		set.Classes[i].LatencyObjective = set.Classes[i].LatencyObjective * 3 / 2
	case 2:
		set.Classes = slices.Delete(set.Classes, i, i+1)
	default:
		set.Limits.MaxAttempts = 1 + s.rng.IntN(4)
	}
	s.apply(UpdateSettings{set})
}

// newEngine is an engine that started long ago.
func (s *simulation) newEngine() *simulatedEngine {
	s.lastEngine++
	kinds := []string{}
	for name := range s.set.EngineKinds {
		kinds = append(kinds, name)
	}
	slices.Sort(kinds)
	return &simulatedEngine{Endpoint: changelog.Endpoint{
		Engine: control.Engine{
			ID: fmt.Sprintf("engine-%03d", s.lastEngine), Zone: fmt.Sprint("zone-", s.lastEngine%3),
			Kind: kinds[s.lastEngine%len(kinds)], Cell: s.lastEngine / 4, State: control.Ready,
		},
		Addr: fmt.Sprint("10.0.0.1:", 1000+s.lastEngine),
	}}
}

// listed is the whole list of engines as it is now.
func (s *simulation) listed() (hosts []changelog.Endpoint) {
	for _, e := range s.engines {
		hosts = append(hosts, e.Endpoint)
	}
	return hosts
}

func (s *simulation) publish(whole bool, hosts ...changelog.Endpoint) {
	s.sequence++
	page := changelog.Page{Revision: s.sequence, Changes: []changelog.Change{{Revision: s.sequence, Snapshot: whole, Endpoints: hosts}}}
	s.apply(EndpointChanges{page})
	if s.chance(10) { // the page comes twice
		s.apply(EndpointChanges{page})
	}
}

// changeList lets the change log tell of an engine.
func (s *simulation) changeList() {
	i := s.rng.IntN(len(s.engines))
	e := s.engines[i]
	switch s.rng.IntN(8) {
	case 0:
		e.State = control.Draining
		s.publish(false, e.Endpoint)
	case 1:
		gone := e.Endpoint
		gone.State = control.Removed
		s.engines[i] = s.newEngine()
		s.engines[i].StartedAt = s.now
		s.publish(false, gone, s.engines[i].Endpoint)
	case 2: // restarted, and known so a while later
		e.State, e.StartedAt = control.Ready, s.now-s.between(0, 50*ms)
		s.publish(false, e.Endpoint)
	case 3: // its address passes to another
		next := s.newEngine()
		next.Addr, next.StartedAt = e.Addr, s.now
		s.engines[i] = next
		s.publish(false, next.Endpoint)
	case 4: // it moved
		e.Addr = fmt.Sprint("10.0.0.2:", 1000+s.rng.IntN(1000))
		s.publish(false, e.Endpoint)
	case 5: // a complete list, in which one is missing and another is new
		s.engines[i] = s.newEngine()
		s.publish(true, s.listed()...)
	default:
		e.State = control.Ready
		s.publish(false, e.Endpoint)
	}
}
