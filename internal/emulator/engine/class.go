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
	maxPageBytes  = 6000 // of one page of a result
)

// Class is how the queries of one class behave.
type Class struct {
	Name                 string
	Work                 time.Duration // CPU time of a query on one thread
	Threads              int
	Rows                 int  // rows of a result
	HoldsDataSetLock     bool // until it ends; one such query of a data set runs at a time
	BlockedByDataSetLock bool // makes no progress while another query holds the lock of its data set
}

// randomFor returns the random numbers that belong to a request id.
func randomFor(requestID, class string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(class))
	h.Write([]byte(requestID))
	return rand.New(rand.NewPCG(h.Sum64(), 0))
}

// Cost returns the CPU time that the query of a request id takes on one thread. It has a log-normal
// distribution with mean MeanWork.
func (c *Class) Cost(requestID string) time.Duration {
	exponent := workLogStdDev*randomFor(requestID, c.Name).NormFloat64() - workLogStdDev*workLogStdDev/2
	return time.Duration(float64(c.Work) * math.Exp(exponent))
}

// Result returns the answer to the query of a request id, in pages of complete rows.
func (c *Class) Result(requestID string) (pages []string) {
	rng := randomFor(requestID+"rows", c.Name)
	var page strings.Builder
	for i := range 1 + rng.IntN(2*max(1, c.Rows)) {
		row := fmt.Sprintf("%d\t%s\t%x\n", i, c.Name, rng.Uint64())
		if page.Len()+len(row) > maxPageBytes {
			pages = append(pages, page.String())
			page.Reset()
		}
		page.WriteString(row)
	}
	return append(pages, page.String())
}
