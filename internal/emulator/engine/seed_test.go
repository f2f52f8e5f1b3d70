package engine

import "flag"

// A fixed seed makes the property tests deterministic. The flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
}
