// Package usage accounts for what one broker spends of what its whole fleet shares, the engines and the
// change log: probes, new connections, endpoint polls and gossip, beside the requests that they are spent
// for. What is harmless from one broker adds up over a fleet, and the settings price it per request; from the
// brokers' logs the counters can be summed across a fleet. The package does no I/O and reads no clock.
package usage

// Counters counts what a broker did. The zero value has counted nothing.
type Counters struct {
	Requests       uint64 // requests read from clients, also those that are invalid or rejected at once
	FirstAttempts  uint64 // first attempts of requests sent to engines
	Retries        uint64 // attempts of requests that had one already, hedged ones included
	Rejections     uint64 // requests answered as rejected
	LoadProbes     uint64 // load probes sent to engines
	LivenessProbes uint64 // liveness checks of engine connections that were silent
	Dials          uint64 // connections to engines begun
	EndpointPolls  uint64 // polls of the change log
	GossipSent     uint64 // datagrams sent to other brokers
}

// LogMessage is the message of the log line that holds counters.
const LogMessage = "fleet usage"

// FieldNames are the names of the counters in that log line, in the order of the fields of Counters.
var FieldNames = [...]string{
	"requests", "first_attempts", "retries", "rejections", "load_probes", "liveness_probes",
	"dials", "polls", "gossip_sent",
}

// values points to the counters in the order of FieldNames.
func (c *Counters) values() [len(FieldNames)]*uint64 {
	return [...]*uint64{
		&c.Requests, &c.FirstAttempts, &c.Retries, &c.Rejections, &c.LoadProbes, &c.LivenessProbes,
		&c.Dials, &c.EndpointPolls, &c.GossipSent,
	}
}

// Since is what was counted after the counters stood at earlier.
func (c Counters) Since(earlier Counters) Counters {
	to, from := c.values(), earlier.values()
	for i := range to {
		*to[i] -= *from[i]
	}
	return c
}

// Add is the sum of two sets of counters, as of two brokers or two intervals.
func (c Counters) Add(other Counters) Counters {
	to, from := c.values(), other.values()
	for i := range to {
		*to[i] += *from[i]
	}
	return c
}

// Count is the value of the counter with a name of FieldNames; ok is false for any other name.
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

// PerRequest is a count over the requests read from clients, as the settings price probes and new connections; 0
// without any.
func PerRequest(count, requests uint64) float64 {
	if requests == 0 {
		return 0
	}
	return float64(count) / float64(requests)
}
