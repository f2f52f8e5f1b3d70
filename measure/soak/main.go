// Command soak runs brokers, engines and clients as real processes on loopback, with a proxy in front of each engine
// and of the change log. It injects up to four overlapping faults: signals, lost connections, delayed connections,
// restarts, reloads, drains, maintenance, a faulty change log, misbehaving clients, failing system calls and wall
// clock steps. All random choices derive from a seed. A verifier checks the events that clients and engines report
// against the rules of the protocol; the brokers check their own invariants.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const terminate = syscall.SIGTERM

// The roles of this program besides that of running seeds.
const (
	engineRole  = "engine"
	clientsRole = "clients"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), terminate, os.Interrupt)
	err := dispatch(ctx, os.Args[1:])
	stop()
	if err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// dispatch runs the role that the arguments specify. Without a role it runs seeds.
func dispatch(ctx context.Context, args []string) error {
	switch {
	case len(args) == 2 && args[0] == engineRole:
		return runEngine(ctx, args[1])
	case len(args) == 4 && args[0] == clientsRole:
		seed, seedErr := strconv.ParseUint(args[2], 10, 64)
		rate, rateErr := strconv.ParseFloat(args[3], 64)
		if err := errors.Join(seedErr, rateErr); err != nil {
			return err
		}
		return runClients(ctx, strings.Split(args[1], ","), seed, rate)
	}
	return runSeeds(ctx, parseOptions(args))
}

func parseOptions(args []string) options {
	var o options
	flags := flag.NewFlagSet("soak", flag.ExitOnError)
	flags.Uint64Var(&o.seed, "seed", 1, "first seed")
	flags.IntVar(&o.seeds, "seeds", 1, "number of seeds, one after the other")
	flags.DurationVar(&o.duration, "for", 20*time.Second, "duration of the faults of a seed")
	flags.IntVar(&o.brokers, "brokers", 6, "processes of brokers")
	flags.IntVar(&o.engines, "engines", 12, "processes of engines")
	flags.IntVar(&o.clients, "clients", 6, "processes of clients")
	flags.Float64Var(&o.rate, "rate", 12, "sessions a second of each process of clients")
	flags.BoolVar(&o.shims, "shims", true, "system calls of brokers fail, and their wall clocks step")
	flags.StringVar(&o.logs, "logs", "", "folder for the brokers' logs")
	flags.BoolVar(&o.verbose, "v", false, "print all findings and faults")
	_ = flags.Parse(args) // exits on error
	return o
}

// runSeeds runs the seeds and prints their verdicts. It returns errFindings if any seed had findings.
func runSeeds(ctx context.Context, o options) (err error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	program, err := buildShimmed(ctx, dir, "./cmd/wheatlane")
	if err != nil {
		return err
	}
	failed := 0
	for range o.seeds {
		folder := filepath.Join(dir, fmt.Sprint(o.seed))
		found, finished, err := run(ctx, program, folder, o)
		if err != nil {
			return err
		}
		if finished.print(&found) {
			failed++
		}
		o.seed++
	}
	fmt.Printf("seeds %d, with findings %d\n", o.seeds, failed)
	if failed > 0 {
		return errFindings
	}
	return nil
}

const maxPrintedFindings = 12 // for each seed, without -v

// print prints the verdict and reports whether the run had findings or invariant violations.
func (s *soak) print(found *verdict) bool {
	fmt.Printf("seed %d: %d requests, %d attempts, outcomes %v, exempt %d, findings %d, violations %v\n",
		s.options.seed, found.requests, found.attempts, found.outcomes, found.exempt, len(found.findings), s.violations)
	for i, finding := range found.findings {
		if i >= maxPrintedFindings && !s.options.verbose {
			fmt.Printf("  and %d more\n", len(found.findings)-i)
			break
		}
		fmt.Println(" ", finding)
	}
	if s.options.verbose {
		fmt.Println("  faults:", strings.Join(s.faultLog, ", "))
	}
	return len(found.findings) > 0 || len(s.violations) > 0
}
