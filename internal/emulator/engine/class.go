package engine

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	workLogStdDev = 0.6  // standard deviation of the natural logarithm of a query's work
	maxPageBytes  = 6000 // maximum size of a result page
)

// Class specifies the behaviour of the queries of one class.
type Class struct {
	Name                 string
	MeanWork             time.Duration // mean CPU time of a query on one thread
	Threads              int
	MeanRows             int  // mean number of rows of a result
	HoldsDataSetLock     bool // runs under the lock of its data set, one query at a time
	BlockedByDataSetLock bool // makes no progress while another query holds the lock of its data set
}

// randomFor returns a random source that is seeded with a class and a request id.
func randomFor(requestID, class string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(class))
	h.Write([]byte(requestID))
	return rand.New(rand.NewPCG(h.Sum64(), 0))
}

// Cost returns the CPU time on one thread of the query with a request id. Costs have a log-normal distribution with
// mean MeanWork.
func (c *Class) Cost(requestID string) time.Duration {
	exponent := workLogStdDev*randomFor(requestID, c.Name).NormFloat64() - workLogStdDev*workLogStdDev/2
	return time.Duration(float64(c.MeanWork) * math.Exp(exponent))
}

// Result returns the result of the query with a request id, in pages of complete rows.
func (c *Class) Result(requestID string) (pages []string) {
	rng := randomFor(requestID+"rows", c.Name)
	var page strings.Builder
	for i := range 1 + rng.IntN(2*max(1, c.MeanRows)) {
		row := fmt.Sprintf("%d\t%s\t%x\n", i, c.Name, rng.Uint64())
		if page.Len()+len(row) > maxPageBytes {
			pages = append(pages, page.String())
			page.Reset()
		}
		page.WriteString(row)
	}
	return append(pages, page.String())
}
