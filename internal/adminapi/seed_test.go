package adminapi

import "flag"

// The seed is fixed so that each run draws the same cases and has the same result; -rapid.seed selects others.
func init() {
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
}
