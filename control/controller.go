// Package control decides which requests a broker admits, when it sends them and to which engine of a pool.
// It performs no I/O, reads no clock and starts no goroutine: events go in, actions come out.
//
// The Controller routes events, keeps the parts together and collects actions. The decisions are made in the
// packages below this one, one for each policy or mechanism: they are given what they decide by, and know
// nothing of the Controller. A file here puts that input together for one concern and acts on
// what was decided:
//   - admission.go: whether a request is taken on (admission), and its final answer (idempotency)
//   - queueing.go, dispatch.go: queues, and what leaves them (concurrency)
//   - selection.go, eligibility.go, loadprobes.go: the engine of an attempt (selection, eligibility,
//     idempotency, keyorder, retrybudget, datasetlock)
//   - attempts.go, overdue.go: what is sent, retried, hedged and cancelled (attemptoptions, retry, overdue)
//   - requests.go, timers.go: the open requests and what is due for them (keyorder)
//   - membership.go, endpoints.go, engine.go: the engines (membership, datasetlock)
//   - outliers.go, slowdown.go, slowstart.go, loadreports.go, gossip.go: what is known of each (outlier,
//     slowdown, slowstart, loadreport, gossip)
//   - interval.go, servicetime.go, classes.go: what each interval and each answer shows (shares, concurrency,
//     workload)
//   - operatorlog.go: what the operators are notified of (throttle)
//   - policyconfig.go: the settings of a deployment as the policies' configurations
//
// The files that decide are named by "policy" in deploy/balancer.toml.
package control

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"wheatlane/control/admission"
	"wheatlane/control/attemptoptions"
	"wheatlane/control/concurrency"
	"wheatlane/control/gossip"
	"wheatlane/control/membership"
	"wheatlane/control/outlier"
	"wheatlane/control/retry"
	"wheatlane/control/retrybudget"
	"wheatlane/control/selection"
	"wheatlane/control/shares"
	"wheatlane/control/slowdown"
	"wheatlane/control/slowstart"
	"wheatlane/control/throttle"
	"wheatlane/control/workload"
)

// rngStream separates the controller's random numbers from others that are drawn with the same seed.
const rngStream = 0x7461

// Controller decides for one broker. It is not safe for concurrent use.
type Controller struct {
	settings       Settings
	rng            *rand.Rand
	now            time.Duration
	started        bool
	actions        []Action // what Handle is about to return
	timers         timerSet
	noticeThrottle throttle.Throttle[noticeKey]
	requests       requestTable
	endpoints      endpointSet
	slowStart      *slowstart.Policy
	outliers       outlier.Detector
	slowdowns      slowdown.Estimator
	selection      selection.Config
	endpointWatch  membership.Watch
	classes        classTable
	workload       workload.Workload
	retryBudget    retrybudget.Budget
	price          admission.Price
	retryPolicy    retry.Policy
	attemptOptions attemptoptions.Config
	shares         shares.Regulator
	intervalStart  time.Duration // of the current control interval
	pressure       concurrency.PressureConfig
	gossip         gossip.Schedule
}

// ErrInvalidSettings is the error of New for settings that a broker can't work by.
var ErrInvalidSettings = errors.New("invalid settings of the decision module")

// New returns a controller for these settings; equal settings, seeds and events give equal actions. It
// returns ErrInvalidSettings if there is no class of request, or if the broker is not one of the brokers.
func New(settings Settings, seed uint64) (*Controller, error) {
	if len(settings.Classes) == 0 {
		return nil, fmt.Errorf("%w: no classes of request", ErrInvalidSettings)
	}
	if settings.BrokerIndex < 0 || settings.BrokerIndex >= settings.Brokers {
		return nil, fmt.Errorf("%w: broker index %d of %d brokers",
			ErrInvalidSettings, settings.BrokerIndex, settings.Brokers)
	}
	settings.Limits.MaxAttempts = max(1, settings.Limits.MaxAttempts)
	c := &Controller{
		settings:       settings,
		rng:            rand.New(rand.NewPCG(seed, rngStream)),
		timers:         newTimerSet(),
		noticeThrottle: throttle.New[noticeKey](noticeInterval),
		requests:       newRequestTable(),
		endpoints:      newEndpointSet(),
		classes:        newClassTable(),
		outliers:       outlier.NewDetector(outlier.DefaultConfig()),
		slowdowns:      slowdown.NewEstimator(slowdownConfig(&settings)),
		selection:      selection.DefaultConfig(),
		endpointWatch:  membership.NewWatch(watchConfig(&settings)),
		gossip:         gossip.NewSchedule(gossipConfig(&settings)),
		retryBudget:    retrybudget.New(retryBudgetConfig(&settings)),
		price:          admission.NewPrice(),
		retryPolicy:    retry.New(settings.MinBatchInterval),
		attemptOptions: attemptOptionsConfig(&settings),
		pressure:       concurrency.DefaultPressureConfig(),
		workload:       workload.New(workload.DefaultConfig(), settings.Tenants, settings.Brokers),
		shares:         shares.New(shares.DefaultConfig(), shares.Equal(len(settings.Classes))),
	}
	for _, class := range settings.Classes {
		c.classes.add(class.withDefaults(), &c.workload)
	}
	pooled := poolsEngines(settings, c.classes.maxThreads)
	c.slowStart = newSlowStart(settings, pooled)
	if pooled {
		c.endpoints.setPool(c.newPool())
	}
	return c, nil
}

// Handle takes what happened at one time, in order, and returns what to do, in order. A time before that of
// the last call counts as the last call's.
func (c *Controller) Handle(now time.Duration, events []Event) []Action {
	c.now = max(c.now, now)
	c.actions = nil
	if len(events) == 0 {
		return nil
	}
	if !c.started {
		c.started = true
		c.intervalStart = c.now
		c.emit(SetTimer{tickInterval, tickToken})
	}
	// After a standstill many events come together: what ended is taken before what is new or due is
	// judged.
	disconnected := c.handleOutcomes(events)
	c.handleRequestsAndTimers(events, disconnected)
	for _, engine := range c.endpoints.queueOwners() {
		c.dispatch(engine)
	}
	return c.actions
}

// handleOutcomes takes all events but new requests and timers; it returns the requests whose clients are
// gone.
func (c *Controller) handleOutcomes(events []Event) (disconnected map[string]bool) {
	for _, event := range events {
		switch event := event.(type) {
		case ClientDisconnected:
			c.handleClientDisconnected(event.RequestID)
			if disconnected == nil {
				disconnected = map[string]bool{}
			}
			disconnected[event.RequestID] = true
		case ResponseStarted:
			if request := c.requests.byID[event.RequestID]; request != nil {
				request.responseStarted = true
			}
		case AttemptEnded:
			c.handleAttemptEnded(event)
		case AttemptProgress:
			c.handleAttemptProgress(event)
		case ProbeResult:
			c.handleProbeResult(event)
		case GossipReceived:
			c.endpoints.mergeGossipedLoads(event.Reports, c.now)
		case EndpointUpdate:
			c.handleEndpointUpdate(event)
		case SetMaintenance:
			c.handleSetMaintenance(event)
		}
	}
	return disconnected
}

// handleRequestsAndTimers takes new requests, but for those whose clients are gone already, and timers.
func (c *Controller) handleRequestsAndTimers(events []Event, disconnected map[string]bool) {
	for _, event := range events {
		switch event := event.(type) {
		case RequestReceived:
			if !disconnected[event.Request.ID] {
				c.handleRequestReceived(event.Request)
			}
		case TimerFired:
			if event.Token == tickToken {
				c.tick()
			} else if expired := c.timers.take(event.Token); expired != nil {
				expired.expire(c)
			}
		}
	}
}

// tick does what is due every tickInterval: it looks at what waits, and once an interval runs the regulators.
func (c *Controller) tick() {
	c.emit(SetTimer{tickInterval, tickToken})
	c.retryBudget.Expire(c.now)
	c.watchEndpoints()
	c.outliers.DecayFleet()
	c.endpoints.decayObservations(&c.slowdowns, c.now)
	if c.settings.Limits.Gossip {
		c.endpoints.updatePoolLoad(c.now)
	}
	c.enqueueDeferred()
	c.sendGossip()
	if elapsed := c.now - c.intervalStart; elapsed >= controlInterval {
		c.intervalStart = c.now
		c.runInterval(elapsed)
	}
}

// UpdateClasses takes over the classes and the number of attempts of settings read anew. A class that is
// new, or whose settings differ, gets an index of its own: requests under way keep the class that they came
// under. A class that is no longer named stays until then; the broker answers new requests of it as
// invalid. All other settings are those of the start.
func (c *Controller) UpdateClasses(classes []Class, limits Limits) {
	added := 0
	for _, class := range classes {
		if class = class.withDefaults(); !c.classes.contains(class) {
			c.classes.add(class, &c.workload)
			c.shares.AddClass()
			added++
		}
	}
	c.settings.Limits.MaxAttempts = limits.MaxAttempts
	if added == 0 {
		return
	}
	c.shares.Restart()
	c.endpoints.growQueues(len(c.classes.all), c.workload.Tenants().Len())
}

func (c *Controller) emit(action Action) { c.actions = append(c.actions, action) }

// startTimer has a timer expire after a time, at the next batch at the earliest.
func (c *Controller) startTimer(after time.Duration, t timer) {
	c.emit(SetTimer{max(after, c.settings.MinBatchInterval, minTimerDelay), c.timers.add(t)})
}
