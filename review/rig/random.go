package rig

import (
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
)

var (
	randomMu sync.Mutex
	random   = rand.New(rand.NewPCG(Seed(), 42))
)

// Seed returns the seed of the random choices: that of the variable SEED, or 1.
func Seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return n
	}
	return 1
}

// IntN returns a random number from 0 to n-1.
func IntN(n int) int {
	randomMu.Lock()
	defer randomMu.Unlock()
	return random.IntN(n)
}

// Happens reports true with a probability.
func Happens(probability float64) bool {
	randomMu.Lock()
	defer randomMu.Unlock()
	return random.Float64() < probability
}

// Hex returns n random hex digits.
func Hex(n int) string {
	const digits = "0123456789abcdef"
	out := make([]byte, n)
	for i := range out {
		out[i] = digits[IntN(16)]
	}
	return string(out)
}
