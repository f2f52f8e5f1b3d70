package broker

// RequestIDs remembers the ids of requests that were accepted, also by another process of this broker. A request whose
// client has left may have run, so its id stays remembered for a time. The ids of the requests of this process are not
// asked for while these are open. Its methods are called on the goroutine that owns the reducer.
type RequestIDs interface {
	// Claim remembers an id and reports whether it was not remembered before.
	Claim(id string) bool
	// Release forgets an id.
	Release(id string)
}

// noRequestIDs remembers nothing.
type noRequestIDs struct{}

func (noRequestIDs) Claim(string) bool { return true }
func (noRequestIDs) Release(string)    {}

// SetRequestIDs sets where ids of requests are remembered. It must be called before the first event.
func (b *Broker) SetRequestIDs(ids RequestIDs) { b.requestIDs = ids }
