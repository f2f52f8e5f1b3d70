package membership

import "time"

const (
	maxRetryDelay          = 2 * time.Second // longest delay before a watch that ended begins again
	retriesPerPollInterval = 2               // minimum number of retries in a poll interval
)

// WatchConfig specifies the watch on the endpoint list of a deployment.
type WatchConfig struct {
	Required        bool          // the endpoint list must be watched
	MaxPollInterval time.Duration // longest time between polls of the endpoint list
}

// Watch decides when to request the changes of the endpoint list. Only the simulator needs it: the broker
// polls the change log independently of the decision module.
type Watch struct {
	config WatchConfig
	active bool
	nextAt time.Duration // time from which the watch may begin again
}

// NewWatch returns an inactive watch.
func NewWatch(config WatchConfig) Watch { return Watch{config: config} }

// Begin begins the watch if it is required and due, and reports whether it did.
func (w *Watch) Begin(now time.Duration) bool {
	if !w.config.Required || w.active || now < w.nextAt {
		return false
	}
	w.active = true
	return true
}

// Ended records that the watch failed or ended. It may begin again after a delay.
func (w *Watch) Ended(now time.Duration) {
	w.active = false
	w.nextAt = now + min(maxRetryDelay, w.config.MaxPollInterval/retriesPerPollInterval)
}
