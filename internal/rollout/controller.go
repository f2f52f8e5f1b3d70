package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// baselineZ is the confidence of the baseline's upper bound in standard deviations: a normal
	// distribution exceeds it with a probability of about 1/700.
	baselineZ = 3

	// baselineDecay is the factor by which each new observation reduces the weight of the earlier ones; the
	// effective number of observations is about 20.
	baselineDecay = 0.95

	// maxBackoffDoublings is the maximum number of doublings of RollbackBackoff.
	maxBackoffDoublings = 10
)

// Controller decides about the configurations of one broker. It is not safe for concurrent use.
type Controller struct {
	cfg     Config
	actions []Action

	stable     Version // the last version that was promoted
	rolledBack Version // the last canary that ended; the fallback if stable can't be applied any more
	pending    Version // deferred until the running canary ends; empty: none

	canary   canary
	baseline baseline
	backoffs map[Version]backoff
	starts   []time.Duration // start times of the canaries within CanaryWindow
}

// canary is the state of the running canary; its version is empty if none runs.
type canary struct {
	version   Version
	startedAt time.Duration
	requests  float64                    // completed since its start
	tests     map[string]*SequentialTest // by class
}

// baseline holds the exponentially weighted observations of the stable version.
type baseline struct {
	classes map[string]Counts // by class
	rate    float64           // completed requests per second
}

// backoff is the retry state of a version that was rolled back.
type backoff struct {
	until     time.Duration // earliest time of a retry
	rollbacks int
}

// New returns a Controller whose active and stable configuration is stable.
func New(cfg Config, stable Version) *Controller {
	return &Controller{
		cfg:      cfg,
		stable:   stable,
		baseline: baseline{classes: map[string]Counts{}},
		backoffs: map[Version]backoff{},
	}
}

// Stable returns the last version that was promoted.
func (c *Controller) Stable() Version { return c.stable }

// Canary returns the version of the running canary, empty if there is none.
func (c *Controller) Canary() Version { return c.canary.version }

// Active returns the configuration that should be active.
func (c *Controller) Active() Version {
	if c.canary.version != "" {
		return c.canary.version
	}
	return c.stable
}

// Handle processes an event and returns the actions to perform, in order. now is the time of a monotonic clock.
func (c *Controller) Handle(now time.Duration, ev Event) []Action {
	switch ev := ev.(type) {
	case Proposed:
		c.propose(now, ev.Version)
	case Observed:
		c.observe(now, ev)
	case ApplyFailed:
		c.applyFailed(now, ev)
	}
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *Controller) decide(v Version, outcome Outcome, format string, args ...any) {
	c.actions = append(
		c.actions, Decision{Version: v, Outcome: outcome, Reason: fmt.Sprintf(format, args...)},
	)
}

// propose starts a canary of a version, unless the version is active or in backoff, another canary runs, or the rate
// limit of canaries is reached.
func (c *Controller) propose(now time.Duration, v Version) {
	switch {
	case v == c.Active():
		c.pending = "" // superseded by the active version
	case c.canary.version != "" && v == c.stable:
		c.pending = ""
		c.endCanary(now, Withdrawn, "the stable version was proposed again")
	case c.canary.version != "":
		c.pending = v
		c.decide(v, Deferred, "%s is the running canary", c.canary.version)
	case now < c.backoffs[v].until:
		b := c.backoffs[v]
		c.decide(
			v,
			Rejected,
			"rolled back %d times, not retried for another %v",
			b.rollbacks,
			b.until-now,
		)
	case !c.startAllowed(now):
		c.decide(v, Rejected, "%d canaries started within %v", len(c.starts), c.cfg.CanaryWindow)
	default:
		c.starts = append(c.starts, now)
		c.startCanary(now, v)
	}
}

// startAllowed reports whether the rate limit allows another canary.
func (c *Controller) startAllowed(now time.Duration) bool {
	expired := func(at time.Duration) bool { return now-at >= c.cfg.CanaryWindow }
	c.starts = slices.DeleteFunc(c.starts, expired)
	return len(c.starts) < c.cfg.MaxCanaries
}

func (c *Controller) startCanary(now time.Duration, v Version) {
	c.canary = canary{version: v, startedAt: now, tests: map[string]*SequentialTest{}}
	c.decide(v, CanaryStarted, "against %s", c.stable)
	c.actions = append(c.actions, Apply{v})
}

// observe updates the baseline, or evaluates the canary if one runs.
func (c *Controller) observe(now time.Duration, ev Observed) {
	total := 0.0
	for _, counts := range ev.Classes {
		total += counts.Total
	}
	rate := 0.0
	if ev.Duration > 0 {
		rate = total / ev.Duration.Seconds()
	}
	if c.canary.version == "" {
		c.baseline.observe(ev.Classes, rate)
		return
	}
	c.canary.requests += total
	if reason, harmful := c.evaluate(ev.Classes, c.baseline.relativeLoad(rate)); harmful {
		c.rollBack(now, reason)
		return
	}
	c.promoteIfDue(now)
}

// observe adds new observations of the stable version to the baseline.
func (b *baseline) observe(classes map[string]Counts, rate float64) {
	for class, counts := range b.classes {
		b.classes[class] = Counts{
			Total: baselineDecay * counts.Total,
			Bad:   baselineDecay * counts.Bad,
		}
	}
	for class, counts := range classes {
		sum := b.classes[class]
		sum.Add(counts)
		b.classes[class] = sum
	}
	if b.rate == 0 { // the first observation initializes the estimate
		b.rate = rate
	}
	b.rate = baselineDecay*b.rate + (1-baselineDecay)*rate
}

// relativeLoad returns rate relative to the request rate of the baseline, or 1 if that is unknown.
func (b *baseline) relativeLoad(rate float64) float64 {
	if b.rate > 0 {
		return rate / b.rate
	}
	return 1
}

// evaluate tests each class of the canary against the baseline and reports the first class that is harmed.
func (c *Controller) evaluate(classes map[string]Counts, load float64) (reason string, harmful bool) {
	// A Bonferroni correction divides the probability of a false rollback among the classes.
	threshold := float64(max(1, len(c.baseline.classes))) / c.cfg.SignificanceLevel
	for _, class := range slices.Sorted(maps.Keys(classes)) {
		counts, stable := classes[class], c.baseline.classes[class]
		if stable.Total == 0 {
			continue // a new class has no baseline
		}
		test := c.canary.tests[class]
		if test == nil {
			test = &SequentialTest{}
			c.canary.tests[class] = test
		}
		maxRatio := MaxBadRatio(stable, baselineZ, c.cfg.Tolerance, load)
		test.Observe(counts, maxRatio)
		if test.EValue() >= threshold {
			return fmt.Sprintf("%s: %.1f%% of requests bad, %.1f%% in the baseline, %.1f%% allowed",
				class, 100*counts.BadRatio(), 100*stable.BadRatio(), 100*maxRatio), true
		}
	}
	return "", false
}

// promoteIfDue promotes the canary once it has run long enough.
func (c *Controller) promoteIfDue(now time.Duration) {
	switch ran := now - c.canary.startedAt; {
	case ran >= c.cfg.CanaryDuration && c.canary.requests >= c.cfg.MinRequests:
		c.promote(
			now,
			Promoted,
			fmt.Sprintf("%.0f requests in %v show no harm", c.canary.requests, ran),
		)
	case ran >= c.cfg.MaxCanaryDuration:
		c.promote(
			now,
			PromotedUnproven,
			fmt.Sprintf("only %.0f requests completed in %v", c.canary.requests, ran),
		)
	}
}

func (c *Controller) promote(now time.Duration, outcome Outcome, reason string) {
	c.decide(c.canary.version, outcome, "%s", reason)
	c.stable, c.canary = c.canary.version, canary{}
	c.baseline = baseline{classes: map[string]Counts{}} // the baseline of the previous version no longer applies
	c.proposePending(now)
}

// rollBack ends the canary and starts the backoff of its version.
func (c *Controller) rollBack(now time.Duration, reason string) {
	b := c.backoffs[c.canary.version]
	b.until = now + c.cfg.RollbackBackoff<<min(b.rollbacks, maxBackoffDoublings)
	b.rollbacks++
	c.backoffs[c.canary.version] = b
	c.endCanary(now, RolledBack, reason)
}

// endCanary ends the canary without promotion and reactivates the stable version.
func (c *Controller) endCanary(now time.Duration, outcome Outcome, reason string) {
	c.decide(c.canary.version, outcome, "%s", reason)
	c.rolledBack, c.canary = c.canary.version, canary{}
	c.actions = append(c.actions, Apply{c.stable})
	c.proposePending(now)
}

// proposePending proposes the version that was deferred until the end of the canary, if any.
func (c *Controller) proposePending(now time.Duration) {
	if v := c.pending; v != "" {
		c.pending = ""
		c.propose(now, v)
	}
}

// applyFailed handles a version that could not be activated. If the stable version can't be reactivated, the canary
// that ended remains active, because a broker needs a configuration, and becomes the stable version.
func (c *Controller) applyFailed(now time.Duration, ev ApplyFailed) {
	switch {
	case ev.Version == c.canary.version && c.canary.version != "":
		c.canary = canary{}
		c.decide(ev.Version, Rejected, "it can't be applied: %s", ev.Reason)
		c.proposePending(now)
	case ev.Version == c.stable && c.canary.version == "" && c.rolledBack != "":
		c.stable, c.rolledBack = c.rolledBack, ""
		c.decide(
			ev.Version,
			Rejected,
			"it can't be applied any more, the active version remains: %s",
			ev.Reason,
		)
	}
}
