// Command operator measures how long the admin endpoint takes to reply while the broker serves 500 lookups per second
// and slow callers hold connections open after sending nothing or part of a line. A reply is due within 1 s. Each
// printed line is a name, a value and a unit.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"wheatlane/internal/config"
	"wheatlane/internal/emulator/client"
	"wheatlane/internal/emulator/cluster"
	"wheatlane/internal/service"
)

const (
	engineCount  = 4
	lookupRate   = 500 // requests per second
	slowCallers  = 16  // connections that send nothing or part of a line
	replyDue     = time.Second
	callInterval = 20 * time.Millisecond
)

func main() {
	calls := flag.Int("calls", 500, "calls of check, vars, set-down and set-up in turn")
	flag.Parse()
	if err := measure(context.Background(), *calls); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func printResult(name string, value float64, unit string) {
	fmt.Printf("%s %.4g %s\n", name, value, unit)
}

// measure runs engines, a broker, load and callers in this process, and prints the results.
func measure(ctx context.Context, calls int) (err error) {
	dir, err := os.MkdirTemp("", "measure")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	changelog, endpoints, err := cluster.StartHealthy(ctx, g, engineCount, cluster.Classes)
	if err != nil {
		return err
	}
	configText, err := cluster.Configuration("desk", 1, changelog)
	if err != nil {
		return err
	}
	broker, err := newBroker(ctx, dir, configText)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	g.Go(func() error { return broker.Run(ctx, stop) })

	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	load := newLoad(broker.Server.Addr().String())
	g.Go(func() error { return ignoreCanceled(load.Run(loadCtx)) })
	address := broker.AdminAddr().String()
	for i := range slowCallers {
		g.Go(func() error { return callSlowly(loadCtx, address, []string{"", "set-do"}[i%2]) })
	}
	replies := callInTurn(ctx, address, endpoints[0].ID, calls)
	endLoad()
	close(stop)
	replies.print()
	printResult("lookups_sent", float64(load.TakeCounts()["lookup"].Sent), "requests")
	cancel()
	return ignoreCanceled(g.Wait())
}

// newBroker returns a broker with an admin endpoint. Its files are in dir.
func newBroker(ctx context.Context, dir string, configText []byte) (*service.Service, error) {
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, configText, 0o600); err != nil {
		return nil, err
	}
	environment := map[string]string{"RELAY_CONFIG": path, "RELAY_OPERATOR": "127.0.0.1:0", "TMPDIR": dir}
	cfg, err := config.Load(func(name string) string { return environment[name] })
	if err != nil {
		return nil, err
	}
	return service.New(ctx, cfg, nil, zap.NewNop())
}

// newLoad returns a load generator that sends lookups.
func newLoad(address string) *client.LoadGenerator {
	return client.New(client.Config{
		Addr:     address,
		Tenants:  cluster.Tenants,
		DataSets: 24,
		Seed:     1,
		MaxOpen:  256,
		Classes: []client.Class{{
			Engine:           cluster.Classes[0],
			Rate:             lookupRate,
			LatencyObjective: 400 * time.Millisecond,
			Timeout:          2 * time.Second,
		}},
	}, nil)
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// replies holds the results of calls.
type replies struct {
	durations []time.Duration // until the complete reply
	wrong     int             // calls without a positive and complete reply
}

// callInTurn calls the commands in turn. Commands with an engine argument act on engine.
func callInTurn(ctx context.Context, address, engine string, calls int) replies {
	commands := []string{"check", "vars", "set-down " + engine, "set-up " + engine}
	r := replies{durations: make([]time.Duration, 0, calls)}
	for i := range calls {
		command := commands[i%len(commands)]
		start := time.Now()
		reply, err := call(ctx, address, command)
		r.durations = append(r.durations, time.Since(start))
		if err != nil || !isComplete(command, reply) {
			r.wrong++
		}
		time.Sleep(callInterval) // paces the calls
	}
	return r
}

// isComplete reports whether a reply is positive and complete.
func isComplete(command, reply string) bool {
	return strings.HasPrefix(reply, "ACK") && (command != "vars" || strings.HasSuffix(reply, "\n--\n"))
}

func (r *replies) print() {
	slices.Sort(r.durations)
	n := len(r.durations)
	inTime, _ := slices.BinarySearch(r.durations, replyDue)
	printResult("operator_calls", float64(n), "calls")
	printResult("operator_reply_p50", milliseconds(r.durations[n/2]), "ms")
	printResult("operator_reply_p99", milliseconds(r.durations[n*99/100]), "ms")
	printResult("operator_reply_max", milliseconds(r.durations[n-1]), "ms")
	printResult("operator_late", float64(n-inTime), "calls")
	printResult("operator_wrong", float64(r.wrong), "calls")
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// dial connects to the admin endpoint.
func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: replyDue}
	return dialer.DialContext(ctx, "tcp", address)
}
