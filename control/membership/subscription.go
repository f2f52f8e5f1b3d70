package membership

import "time"

const (
	maxRetryDelay     = 2 * time.Second // longest time until a subscription that ended begins again
	retriesEachPeriod = 2               // least number of retries in a poll interval
)

// SubscriptionConfig is what a deployment says of its endpoint list.
type SubscriptionConfig struct {
	Required        bool          // the list has to be subscribed to
	MaxPollInterval time.Duration // longest time between polls of the list
}

// Subscription is the subscription to the endpoint list.
type Subscription struct {
	config SubscriptionConfig
	active bool
	nextAt time.Duration // when it may begin again
}

// NewSubscription returns a subscription that has not begun.
func NewSubscription(config SubscriptionConfig) Subscription { return Subscription{config: config} }

// Begin begins the subscription if it is required and due, and reports whether it did.
func (s *Subscription) Begin(now time.Duration) bool {
	if !s.config.Required || s.active || now < s.nextAt {
		return false
	}
	s.active = true
	return true
}

// Ended records that the subscription failed or ended. It may begin again after a delay.
func (s *Subscription) Ended(now time.Duration) {
	s.active = false
	s.nextAt = now + min(maxRetryDelay, s.config.MaxPollInterval/retriesEachPeriod)
}
