package metrics

import "flag"

// A fixed seed makes each run draw the same cases, so that results are reproducible. -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
}
