// Command config measures the configuration checker, the durable store, and the decisions of a rollout. Each printed
// line is a name, a value and a unit. See docs/measurements/config.md.
package main

import (
	"fmt"
	"os"
)

func main() {
	measures := []func() error{measureFaults, measureCheckTimes, measureRollout, measureStore}
	for _, measure := range measures {
		if err := measure(); err != nil {
			fmt.Fprintln(os.Stderr, "measure:", err)
			os.Exit(1)
		}
	}
}

func printResult(name string, value float64, unit string) {
	fmt.Printf("%s %.4g %s\n", name, value, unit)
}
