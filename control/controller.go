// Package control decides which requests a broker admits, when it sends them and to which engine.
// It performs no I/O, reads no clock and starts no goroutine: it receives events and returns actions.
//
// The Controller routes events to handlers, owns the state and collects actions. The decisions are made in
// the packages below this one, one for each policy or mechanism. Each policy receives its input from the
// Controller and does not depend on it. A file here assembles that input for one concern and acts on the
// decision; the packages that it uses are in parentheses:
//   - admission.go: admission of requests (admission) and their final responses (idempotency)
//   - queueing.go, dispatch.go: queues of requests and dispatch from them (concurrency)
//   - selection.go, eligibility.go, loadprobes.go: the engine of an attempt (selection, eligibility,
//     idempotency, keyorder, retrybudget, datasetlock)
//   - attempts.go, overdue.go: sending, retrying, hedging and cancelling (attemptoptions, retry, overdue)
//   - requests.go, timers.go: the open requests and their timers (keyorder)
//   - membership.go, endpoints.go, engine.go: the engines (membership, datasetlock)
//   - outliers.go, slowdown.go, slowstart.go, loadreports.go, gossip.go: the health and load of each engine
//     (outlier, slowdown, slowstart, loadreport, gossip)
//   - interval.go, servicetime.go, classes.go: updates after each interval and each response (shares,
//     concurrency, workload)
//   - operatorlog.go: notices to the operators (throttle)
//   - policyconfig.go: the configurations of the policies, derived from a deployment's settings
//
// The list "policy" in deploy/balancer.toml names the files that contain decisions.
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

// rngStream selects a stream of random numbers that other users of the same seed don't share.
const rngStream = 0x7461

// Controller makes the decisions of one broker. It is not safe for concurrent use.
type Controller struct {
	settings       Settings
	rng            *rand.Rand
	now            time.Duration
	started        bool
	actions        []Action // result of the current call of Handle
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
	intervalStart  time.Duration // start of the current control interval
	pressure       concurrency.PressureConfig
	gossip         gossip.Schedule
}

// ErrInvalidSettings is returned by New for settings that a broker can't run with.
var ErrInvalidSettings = errors.New("invalid settings of the decision module")

// New returns a controller for these settings. Equal settings, seeds and events give equal actions. New
// returns an error that wraps ErrInvalidSettings if there is no request class or if BrokerIndex is out of
// range.
func New(settings Settings, seed uint64) (*Controller, error) {
	if len(settings.Classes) == 0 {
		return nil, fmt.Errorf("%w: no request classes", ErrInvalidSettings)
	}
	if settings.BrokerIndex < 0 || settings.BrokerIndex >= settings.Brokers {
		return nil, fmt.Errorf("%w: broker index %d is out of range for %d brokers",
			ErrInvalidSettings, settings.BrokerIndex, settings.Brokers)
	}
	settings.Limits = settings.Limits.withDefaults()
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
	c.classes.update(withDefaults(settings.Classes))
	c.workload.SetClasses(c.classes.estimates(), nil)
	pooled := poolsEngines(settings, c.classes.maxThreads)
	c.slowStart = newSlowStart(settings, pooled)
	if pooled {
		c.endpoints.setPool(c.newPool())
	}
	return c, nil
}

// Handle processes the events of one batch and returns the actions to perform, in order. A time before that
// of the previous call is replaced by the previous call's time.
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
	// After a process pause, one batch may contain many events. Outcomes are processed before new
	// requests and expired timers, which are evaluated on the resulting state.
	disconnected := c.handleOutcomes(events)
	c.handleRequestsAndTimers(events, disconnected)
	for _, engine := range c.endpoints.queueOwners() {
		c.dispatch(engine)
	}
	return c.actions
}

// handleOutcomes processes all events except new requests and timers. It returns the IDs of the requests
// whose clients have disconnected.
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

// handleRequestsAndTimers processes timers and new requests, except requests whose clients have already
// disconnected.
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

// tick performs the periodic work: every tickInterval it enqueues deferred requests, updates estimates and
// sends gossip, and every controlInterval it runs the regulators.
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

// UpdateClasses applies the classes and the maximum number of attempts of reloaded settings. Open requests keep
// the class under which they were received: its settings and estimates. A class whose settings differ has new
// estimates, and the place of the previous one in the shares and queues. All classes that are no longer listed
// have one place together while they have requests; the broker treats new requests of them as invalid. All
// other settings keep their values from the start.
func (c *Controller) UpdateClasses(classes []Class, limits Limits) {
	c.settings.Limits.MaxAttempts = limits.withDefaults().MaxAttempts
	if indexes, changed := c.classes.update(withDefaults(classes)); changed {
		c.moveClasses(indexes)
	}
}

// moveClasses applies a change of the classes' indexes to the tables by class.
func (c *Controller) moveClasses(indexes classIndexes) {
	c.workload.SetClasses(c.classes.estimates(), indexes.previous)
	c.shares.MoveClasses(indexes.previous)
	c.endpoints.moveQueues(indexes.current, len(c.classes.all))
}

func withDefaults(classes []Class) []Class {
	defaulted := make([]Class, 0, len(classes))
	for _, class := range classes {
		defaulted = append(defaulted, class.withDefaults())
	}
	return defaulted
}

func (c *Controller) emit(action Action) { c.actions = append(c.actions, action) }

// startTimer starts a timer that expires after a delay, in the next batch at the earliest, and returns its token.
func (c *Controller) startTimer(after time.Duration, t timer) (token uint64) {
	token = c.timers.add(t)
	c.emit(SetTimer{max(after, c.settings.MinBatchInterval, minTimerDelay), token})
	return token
}
