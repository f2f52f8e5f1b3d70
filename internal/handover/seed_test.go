package handover

import "flag"

// The fixed seed gives every run the same random values, so that results are reproducible; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
}
