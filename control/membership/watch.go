package membership

import "time"

const (
	maxRetryDelay     = 2 * time.Second // longest time until a watch that ended begins again
	retriesEachPeriod = 2               // least number of retries in a poll interval
)

// WatchConfig is what a deployment says of its endpoint list.
type WatchConfig struct {
	Required        bool          // the list has to be watched
	MaxPollInterval time.Duration // longest time between polls of the list
}

// Watch decides when to ask for the changes of the endpoint list. Only the simulator's host needs it: the
// broker polls the change log without being asked.
type Watch struct {
	config WatchConfig
	active bool
	nextAt time.Duration // when it may begin again
}

// NewWatch returns a watch that has not begun.
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
	w.nextAt = now + min(maxRetryDelay, w.config.MaxPollInterval/retriesEachPeriod)
}
