// Package cost keeps the book of what one broker costs the engines and the change log that a whole fleet shares:
// probes, new connections and calls for the list, beside the requests that they are spent for. What is harmless
// from one broker adds up over a fleet, and the settings price it per request; the book is what makes it countable
// across a fleet from the brokers' logs. It does no I/O and reads no clock.
package cost

// Book counts what a broker did. The zero value is an empty book.
type Book struct {
	Taken   uint64 // requests taken from clients
	First   uint64 // first attempts sent to engines
	Further uint64 // further attempts of requests that had one
	Refused uint64 // requests answered as refused
	Probes  uint64 // load probes (busy)
	Doubts  uint64 // liveness probes (there) of connections that were silent
	Dials   uint64 // connections to engines begun
	Polls   uint64 // calls to the change log
	Tells   uint64 // datagrams to other brokers
}

// Names are those of the counters in the log line `costs`, in the order of the fields of Book.
var Names = [...]string{"taken", "first", "further", "refused", "probes", "doubts", "dials", "polls", "tells"}

func (b *Book) counts() [len(Names)]*uint64 {
	return [...]*uint64{&b.Taken, &b.First, &b.Further, &b.Refused, &b.Probes, &b.Doubts, &b.Dials, &b.Polls, &b.Tells}
}

// Less is what was counted in b since the book stood at before.
func (b Book) Less(before Book) Book {
	to, from := b.counts(), before.counts()
	for i := range to {
		*to[i] -= *from[i]
	}
	return b
}

// Plus is the sum of two books, as of two brokers or two intervals.
func (b Book) Plus(o Book) Book {
	to, from := b.counts(), o.counts()
	for i := range to {
		*to[i] += *from[i]
	}
	return b
}

// Count is the counter of a name, and false for a name that a book does not have.
func (b Book) Count(name string) (uint64, bool) {
	for i, n := range b.counts() {
		if Names[i] == name {
			return *n, true
		}
	}
	return 0, false
}

// Set gives the counter of a name its count; it says false of a name that a book does not have.
func (b *Book) Set(name string, count uint64) bool {
	for i, n := range b.counts() {
		if Names[i] == name {
			*n = count
			return true
		}
	}
	return false
}

// Per is a count over the requests taken, as the settings price probes and new connections; 0 without any.
func Per(count, taken uint64) float64 {
	if taken == 0 {
		return 0
	}
	return float64(count) / float64(taken)
}
