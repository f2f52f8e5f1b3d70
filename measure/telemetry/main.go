// Command telemetry measures the cost of metrics, the accuracy of quantiles, the memory limits, and the losses after an
// outage of a collector. Each printed line is a name, a value and a unit. See docs/measurements/telemetry.md.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"wheatlane/internal/metrics"
)

func main() {
	rounds := flag.Int("rounds", 12, "rounds of two seconds of load for all brokers at once")
	program := flag.String("program", "bin/wheatlane", "the broker")
	flag.Parse()
	for _, measure := range []func() error{
		measureRecording,
		measureQuantiles,
		measureHeavyHitters,
		measureBacklog,
		measurePackets,
		func() error { return measureEndToEnd(context.Background(), *program, *rounds) },
	} {
		if err := measure(); err != nil {
			fmt.Fprintln(os.Stderr, "measure:", err)
			os.Exit(1)
		}
	}
}

func printResult(name string, value float64, unit string) {
	fmt.Printf("%s %.4g %s\n", name, value, unit)
}

// limits are the default limits of the operator's configuration.
var limits = metrics.Limits{Classes: 16, Tenants: 32, Engines: 32, DataSets: 32, IdleTimeout: 10 * time.Minute}

const bytesPerKilobyte = 1024
