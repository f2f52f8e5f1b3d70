// Command soak runs brokers, engines and clients as real processes on loopback, with a proxy ahead of each engine
// and of the change log, and overlaps up to four faults in time: signals, cuts, late connections, restarts,
// reloads, drains, maintenance, a faulty change log, clients that misbehave, system calls that fail and wall
// clocks that step. Everything is drawn from a seed. What happened is judged by the rules of the protocol, from
// what clients and engines saw, and by the invariants that brokers check on themselves.
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

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), terminate, os.Interrupt)
	err := dispatch(ctx, os.Args[1:])
	stop()
	if err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// dispatch runs the role that the arguments name; without one it runs seeds.
func dispatch(ctx context.Context, args []string) error {
	switch {
	case len(args) == 2 && args[0] == "engine":
		return runEngine(ctx, args[1])
	case len(args) == 4 && args[0] == "clients":
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
	_ = flags.Parse(args) // it exits on an error
	return o
}

// runSeeds plays the seeds and prints their verdicts.
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
		found, played, err := run(ctx, program, folder, o)
		if err != nil {
			return err
		}
		if played.print(&found) {
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

const printedFindings = 12 // of a seed, without -v

// print prints a verdict and reports whether anything was found.
func (s *soak) print(found *verdict) bool {
	fmt.Printf("seed %d: %d requests, %d attempts, outcomes %v, exempt %d, findings %d, violations %v\n",
		s.options.seed, found.requests, found.attempts, found.outcomes, found.exempt, len(found.findings), s.violations)
	for i, finding := range found.findings {
		if i >= printedFindings && !s.options.verbose {
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
