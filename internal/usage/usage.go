// Package usage counts a broker's use of the resources that the fleet shares, the engines and the change log: load and
// liveness probes, new connections, endpoint polls and gossip, together with the requests that cause them. Use that is
// negligible for one broker adds up over a fleet, and the settings limit it per request. Each broker logs its counters,
// so that they can be summed over the fleet. The package does no I/O and reads no clock.
package usage

// Counters counts a broker's requests and its use of shared resources. The zero value is ready to use.
type Counters struct {
	Requests       uint64 // requests read from clients, including invalid and rejected ones
	FirstAttempts  uint64 // first attempts of requests sent to engines
	Retries        uint64 // further attempts of requests, including hedged ones
	Rejections     uint64 // requests answered as rejected
	LoadProbes     uint64 // load probes sent to engines
	LivenessProbes uint64 // liveness probes sent on silent engine connections
	Dials          uint64 // connections to engines started
	EndpointPolls  uint64 // polls of the change log
	GossipSent     uint64 // datagrams sent to other brokers
}

// LogMessage is the message of the log line that contains the counters.
const LogMessage = "fleet usage"

// FieldNames are the field names of the counters in that log line, in the order of the fields of Counters.
var FieldNames = [...]string{
	"requests", "first_attempts", "retries", "rejections", "load_probes", "liveness_probes",
	"dials", "polls", "gossip_sent",
}

// values returns pointers to the counters in the order of FieldNames.
func (c *Counters) values() [len(FieldNames)]*uint64 {
	return [...]*uint64{
		&c.Requests, &c.FirstAttempts, &c.Retries, &c.Rejections, &c.LoadProbes, &c.LivenessProbes,
		&c.Dials, &c.EndpointPolls, &c.GossipSent,
	}
}

// Since returns the difference between the counters and an earlier reading of them.
func (c Counters) Since(earlier Counters) Counters {
	to, from := c.values(), earlier.values()
	for i := range to {
		*to[i] -= *from[i]
	}
	return c
}

// Add returns the sum of two sets of counters, for example of two brokers or two intervals.
func (c Counters) Add(other Counters) Counters {
	to, from := c.values(), other.values()
	for i := range to {
		*to[i] += *from[i]
	}
	return c
}

// Count returns the counter with a name of FieldNames; ok is false for any other name.
func (c Counters) Count(name string) (count uint64, ok bool) {
	for i, value := range c.values() {
		if FieldNames[i] == name {
			return *value, true
		}
	}
	return 0, false
}

// Set sets the counter with a name of FieldNames; it returns false for any other name.
func (c *Counters) Set(name string, count uint64) bool {
	for i, value := range c.values() {
		if FieldNames[i] == name {
			*value = count
			return true
		}
	}
	return false
}

// PerRequest returns a count per request read from clients, the unit in which the settings limit probes and new
// connections. It returns 0 if there are no requests.
func PerRequest(count, requests uint64) float64 {
	if requests == 0 {
		return 0
	}
	return float64(count) / float64(requests)
}
