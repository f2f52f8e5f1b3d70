// Command operator measures how long calls at the second address take while the broker serves 500 lookups a second
// and slow callers hold connections open with nothing or half a line: the page owes a reply within 1 s.
package main

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
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
	rate      = 500 // lookups a second
	slowOnes  = 16  // callers that hold a connection with nothing or half a line
	slowFor   = 4 * time.Second
	owed      = time.Second
	callEvery = 20 * time.Millisecond
)

func main() {
	calls := flag.Int("calls", 500, "calls of check, vars, set-down and set-up in turn")
	flag.Parse()
	if err := measure(context.Background(), *calls); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func tell(name string, value float64, unit string) { fmt.Printf("%s %.4g %s\n", name, value, unit) }

func measure(ctx context.Context, calls int) error {
	dir, err := os.MkdirTemp("", "measure")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	changes, hosts, err := cluster.Plain(ctx, g, 4, cluster.Classes)
	if err != nil {
		return err
	}
	text, err := cluster.Configuration("desk", 1, changes)
	if err != nil {
		return err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	cfg, err := config.Load(func(k string) string {
		return map[string]string{"RELAY_CONFIG": path, "RELAY_OPERATOR": "127.0.0.1:0", "TMPDIR": dir}[k]
	})
	if err != nil {
		return err
	}
	broker, err := service.New(ctx, cfg, nil, zap.NewNop())
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	g.Go(func() error { return broker.Run(ctx, stop) })
	desk := broker.AdminAddr().String()
	load := client.New(client.Config{Addr: broker.Server.Addr().String(), Tenants: cluster.Tenants, DataSets: 24, Seed: 1, MaxOpen: 256,
		Classes: []client.Class{{Engine: cluster.Classes[0], Rate: rate, LatencyObjective: 400 * time.Millisecond, Timeout: 2 * time.Second}}}, nil)
	loading, endLoad := context.WithCancel(ctx)
	g.Go(func() error {
		if err := load.Run(loading); err != nil && !errors.Is(err, context.Canceled) {
			return err
		}
		return nil
	})
	for i := range slowOnes {
		g.Go(func() error { return slow(loading, desk, i%2 == 0) })
	}
	took, wrong := make([]time.Duration, 0, calls), 0
	for i := range calls {
		ask := []string{"check", "vars", "set-down " + hosts[0].ID, "set-up " + hosts[0].ID}[i%4]
		began := time.Now()
		reply, err := call(desk, ask)
		took = append(took, time.Since(began))
		if err != nil || !strings.HasPrefix(reply, "ACK") || ask == "vars" && !strings.HasSuffix(reply, "\n--\n") {
			wrong++
		}
		time.Sleep(callEvery) // a pace for the calls, not a wait for something to happen
	}
	endLoad()
	close(stop)
	slices.Sort(took)
	late := len(took) - sortIndex(took, owed)
	tell("operator_calls", float64(len(took)), "calls")
	tell("operator_reply_p50", ms(took[len(took)/2]), "ms")
	tell("operator_reply_p99", ms(took[len(took)*99/100]), "ms")
	tell("operator_reply_max", ms(took[len(took)-1]), "ms")
	tell("operator_late", float64(late), "calls")
	tell("operator_wrong", float64(wrong), "calls")
	tell("lookups_sent", float64(load.Tally()["lookup"].Sent), "requests")
	cancel()
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func sortIndex(sorted []time.Duration, d time.Duration) int {
	i, _ := slices.BinarySearch(sorted, d)
	return i
}

// call asks one thing and reads the reply to its end.
func call(addr, line string) (string, error) {
	c, err := net.DialTimeout("tcp", addr, owed)
	if err != nil {
		return "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * owed))
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return "", err
	}
	b, err := io.ReadAll(bufio.NewReader(c))
	return string(b), err
}

// slow holds a connection for slowFor with nothing, or half a call, again and again until ctx ends.
func slow(ctx context.Context, addr string, half bool) error {
	for ctx.Err() == nil {
		c, err := net.DialTimeout("tcp", addr, owed)
		if err != nil {
			return nil
		}
		if half {
			io.WriteString(c, "set-do")
		}
		select {
		case <-ctx.Done():
		case <-time.After(slowFor):
		}
		c.Close()
	}
	return nil
}
