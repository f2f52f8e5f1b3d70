// Package control decides which requests a broker admits, when it sends them and to which engine of a pool.
// It performs no I/O, reads no clock and starts no goroutine: events go in, actions come out.
//
// Each concern has its file. Those that decide are named by "policy" in deploy/balancer.toml: admission and
// load shedding, eligibility, slow start, engine selection, dispatch under the concurrency limit, attempts,
// hedging, outlier detection, regulators with their optimizer, and gossip. The others keep state and
// estimates; generic estimators and the fair queue are packages of their own (internal/estimate,
// internal/fairqueue, internal/rls).
package control

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"wheatlane/control/admission"
	"wheatlane/control/concurrency"
	"wheatlane/control/gossip"
	"wheatlane/control/membership"
	"wheatlane/control/outlier"
	"wheatlane/control/retrybudget"
	"wheatlane/control/selection"
	"wheatlane/control/shares"
	"wheatlane/control/slowdown"
	"wheatlane/control/slowstart"
	"wheatlane/control/workload"
)

// rngStream separates the controller's random numbers from others that are drawn with the same seed.
const rngStream = 0x7461

// Controller decides for one broker. It is not safe for concurrent use.
type Controller struct {
	settings      Settings
	rng           *rand.Rand
	now           time.Duration
	started       bool
	actions       []Action // what Handle is about to return
	timers        timerSet
	log           logThrottle
	requests      requestTable
	endpoints     endpointSet
	slowStart     *slowstart.Policy
	outliers      outlier.Detector
	slowdowns     slowdown.Estimator
	selection     selection.Config
	subscription  membership.Subscription
	classes       classTable
	workload      workload.Workload
	retries       retrybudget.Budget
	price         admission.Price
	shares        shares.Regulator
	intervalStart time.Duration // of the current control interval
	pressure      concurrency.PressureConfig
	gossip        gossip.Schedule
}

// New returns a controller for these settings; equal settings, seeds and events give equal actions. It
// returns an error if there is no class of request or if the broker's index is not one of the brokers'.
func New(settings Settings, seed uint64) (*Controller, error) {
	if len(settings.Classes) == 0 {
		return nil, errors.New("no classes of request")
	}
	if settings.Brokers < 1 {
		return nil, errors.New("no brokers")
	}
	if settings.BrokerIndex < 0 || settings.BrokerIndex >= settings.Brokers {
		return nil, fmt.Errorf("broker %d of %d", settings.BrokerIndex, settings.Brokers)
	}
	settings.Limits.MaxAttempts = max(1, settings.Limits.MaxAttempts)
	c := &Controller{
		settings: settings, rng: rand.New(rand.NewPCG(seed, rngStream)),
		timers: newTimerSet(), log: newLogThrottle(), requests: newRequestTable(),
		endpoints: newEndpointSet(), classes: newClassTable(),
		outliers: outlier.NewDetector(outlier.DefaultConfig()),
		slowdowns: slowdown.NewEstimator(slowdown.Config{
			ReportsWork: settings.ReportsCost, IdleAfter: controlInterval,
		}),
		selection: selection.DefaultConfig(),
		subscription: membership.NewSubscription(membership.SubscriptionConfig{
			Required: settings.PollEndpointList, MaxPollInterval: settings.Rules.MaxPollInterval,
		}),
		gossip: gossip.NewSchedule(gossip.Config{
			Enabled: settings.Limits.Gossip, Brokers: settings.Brokers, BrokerIndex: settings.BrokerIndex,
		}),
		retries: retrybudget.New(retryBudgetConfig(settings)), price: admission.NewPrice(),
		pressure: concurrency.DefaultPressureConfig(),
	}
	c.workload = workload.New(workload.DefaultConfig(), settings.Tenants, settings.Brokers)
	for _, class := range settings.Classes {
		c.classes.add(class.withDefaults(), &c.workload)
	}
	c.shares = shares.New(shares.DefaultConfig(), shares.Equal(len(settings.Classes)))
	pooled := poolsEngines(settings, c.classes.maxThreads)
	c.slowStart = newSlowStart(settings, pooled)
	if pooled {
		c.endpoints.setPool(c.newPool())
	}
	return c, nil
}

func retryBudgetConfig(s Settings) retrybudget.Config {
	return retrybudget.Config{
		Window: s.Rules.RetryBudgetWindow, Ratio: s.Rules.RetryBudgetRatio, Reserve: s.Rules.RetryBudgetReserve,
		MinBatchInterval: s.MinBatchInterval, MaxSendDelay: s.MaxSendDelay,
	}
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
	// After a standstill much comes at once: what ended is taken before what is new or due is judged.
	disconnected := c.handleOutcomes(events)
	c.handleRequestsAndTimers(events, disconnected)
	for _, e := range c.endpoints.queueOwners() {
		c.dispatch(e)
	}
	return c.actions
}

// handleOutcomes takes all events but new requests and timers; it returns the requests whose clients are
// gone.
func (c *Controller) handleOutcomes(events []Event) (disconnected map[string]bool) {
	for _, event := range events {
		switch event := event.(type) {
		case ClientDisconnected:
			c.clientDisconnected(event.RequestID)
			if disconnected == nil {
				disconnected = map[string]bool{}
			}
			disconnected[event.RequestID] = true
		case ResponseStarted:
			if r := c.requests.byID[event.RequestID]; r != nil {
				r.responseStarted = true
			}
		case AttemptEnded:
			c.attemptEnded(event)
		case AttemptProgress:
			c.attemptProgress(event)
		case ProbeResult:
			c.probeEnded(event)
		case GossipReceived:
			c.endpoints.receiveLoads(event.Reports, c.now)
		case EndpointUpdate:
			c.endpointsUpdated(event)
		case SetMaintenance:
			c.setMaintenance(event)
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
				c.requestReceived(event.Request)
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

// tick does what is due at regular times: it looks at what waits, and once an interval runs the regulators.
func (c *Controller) tick() {
	c.emit(SetTimer{tickInterval, tickToken})
	c.retries.Expire(c.now)
	c.pollEndpoints()
	c.outliers.DecayFleet()
	c.endpoints.decay(&c.slowdowns, c.now)
	if c.settings.Limits.Gossip {
		c.endpoints.updatePoolLoad(c.now)
	}
	c.retryWaiting()
	c.sendGossip()
	if elapsed := c.now - c.intervalStart; elapsed >= controlInterval {
		c.intervalStart = c.now
		c.runInterval(elapsed)
	}
}

// UpdateClasses takes over the classes and the number of attempts of settings read anew. A class that is new,
// or whose settings differ, gets an index of its own: requests under way keep the class that they came under.
// A class that is not named any more stays until then; the broker rejects new requests of it. All other
// settings are those of the start.
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
	for _, e := range c.endpoints.all {
		e.queue.Grow(len(c.classes.all), c.workload.Tenants().Len())
	}
	if pool := c.endpoints.pool; pool != nil {
		pool.queue.Grow(len(c.classes.all), c.workload.Tenants().Len())
	}
}

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

// startTimer has a timer expire after a time, at the next batch at the earliest.
func (c *Controller) startTimer(after time.Duration, t timer) {
	c.emit(SetTimer{max(after, c.settings.MinBatchInterval, 1), c.timers.add(t)})
}

// emitThrottled emits an action for the operators, unless one about the same subject was emitted lately.
func (c *Controller) emitThrottled(subject logSubject, action Action) {
	if c.log.allows(subject, c.now) {
		c.emit(action)
	}
}
