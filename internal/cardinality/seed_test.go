package cardinality

import "flag"

// Each run draws the same, so that it has the same verdict; -rapid.seed draws something else.
func init() {
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
}
