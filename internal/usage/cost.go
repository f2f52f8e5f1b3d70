// Package cost keeps the book of what one broker costs the engines and the change log that a whole fleet shares:
// probes, new connections and calls for the list, beside the requests that they are spent for. What is harmless
// from one broker adds up over a fleet, and the settings price it per request; the book is what makes it countable
// across a fleet from the brokers' logs. It does no I/O and reads no clock.
package usage

// Counters counts what a broker did. The zero value is an empty book.
type Counters struct {
	Requests       uint64 // requests taken from clients
	FirstAttempts  uint64 // first attempts sent to engines
	Retries        uint64 // further attempts of requests that had one
	Rejections     uint64 // requests answered as refused
	LoadProbes     uint64 // load probes (busy)
	LivenessProbes uint64 // liveness probes (there) of connections that were silent
	Dials          uint64 // connections to engines begun
	EndpointPolls  uint64 // calls to the change log
	GossipSent     uint64 // datagrams to other brokers
}

// FieldNames are those of the counters in the log line `costs`, in the order of the fields of Book.
var FieldNames = [...]string{"taken", "first", "further", "refused", "probes", "doubts", "dials", "polls", "tells"}

func (b *Counters) counts() [len(FieldNames)]*uint64 {
	return [...]*uint64{&b.Requests, &b.FirstAttempts, &b.Retries, &b.Rejections, &b.LoadProbes, &b.LivenessProbes, &b.Dials, &b.EndpointPolls, &b.GossipSent}
}

// Since is what was counted in b since the book stood at before.
func (b Counters) Since(before Counters) Counters {
	to, from := b.counts(), before.counts()
	for i := range to {
		*to[i] -= *from[i]
	}
	return b
}

// Add is the sum of two books, as of two brokers or two intervals.
func (b Counters) Add(o Counters) Counters {
	to, from := b.counts(), o.counts()
	for i := range to {
		*to[i] += *from[i]
	}
	return b
}

// Count is the counter of a name, and false for a name that a book does not have.
func (b Counters) Count(name string) (uint64, bool) {
	for i, n := range b.counts() {
		if FieldNames[i] == name {
			return *n, true
		}
	}
	return 0, false
}

// Set gives the counter of a name its count; it says false of a name that a book does not have.
func (b *Counters) Set(name string, count uint64) bool {
	for i, n := range b.counts() {
		if FieldNames[i] == name {
			*n = count
			return true
		}
	}
	return false
}

// PerRequest is a count over the requests taken, as the settings price probes and new connections; 0 without any.
func PerRequest(count, taken uint64) float64 {
	if taken == 0 {
		return 0
	}
	return float64(count) / float64(taken)
}
