package cardinality

import "flag"

// Each run draws the same cases, so that its verdict is the same; -rapid.seed draws others.
func init() {
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
}
