package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"wheatlane/internal/emulator/changelogserver"
	"wheatlane/internal/emulator/client"
	"wheatlane/internal/emulator/cluster"
	"wheatlane/internal/emulator/conformance"
	"wheatlane/internal/emulator/engine"
)

const (
	requestRate = 500             // requests per second
	roundLength = 2 * time.Second // length of a round of load
	maxOpen     = 256             // concurrent requests
)

// classes are the classes of the engines. A lookup is so little work for an engine that the broker accounts for a
// visible part of its latency.
var classes = func() []engine.Class {
	all := slices.Clone(cluster.Classes)
	all[0].MeanWork = 500 * time.Microsecond
	return all
}()

// brokerProcess is a process of the broker, with the results of the load that it has served.
type brokerProcess struct {
	name    string
	cmd     *exec.Cmd
	address string
	drained chan struct{} // closed at the end of its log

	mu        sync.Mutex
	durations [][]time.Duration // of the served requests, by round, sorted
	sent      int               // requests that have ended, with any outcome
}

// processOptions configures a broker process.
type processOptions struct {
	program      string
	directory    string // for its files
	changelog    *changelogserver.ChangeLog
	operatorFile string               // empty: none
	changeConfig func(map[string]any) // nil: the configuration of the cluster, unchanged
}

// startBroker starts a broker process and waits until it serves.
func startBroker(ctx context.Context, name string, o processOptions) (*brokerProcess, error) {
	path, err := writeConfig(name, o)
	if err != nil {
		return nil, err
	}
	b := &brokerProcess{
		name:    name,
		cmd:     exec.CommandContext(ctx, o.program),
		drained: make(chan struct{}),
	}
	b.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path)
	if o.operatorFile != "" {
		b.cmd.Args = append(b.cmd.Args, "--operator", o.operatorFile)
	}
	log, err := b.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := b.cmd.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(log)
	for b.address == "" && lines.Scan() {
		if _, remainder, ok := strings.Cut(lines.Text(), `"listen":"`); ok {
			b.address, _, _ = strings.Cut(remainder, `"`)
		}
	}
	go func() { // ends with the log, when the process ends
		defer close(b.drained)
		for lines.Scan() {
			continue
		}
	}()
	if b.address == "" {
		b.kill()
		return nil, fmt.Errorf("broker %s ended its log without a listen address", name)
	}
	return b, nil
}

// writeConfig writes the platform's configuration of a broker and returns its path.
func writeConfig(name string, o processOptions) (string, error) {
	text, err := cluster.Configuration(name, 1, o.changelog)
	if err != nil {
		return "", err
	}
	if o.changeConfig != nil {
		var file map[string]any
		if err := json.Unmarshal(text, &file); err != nil {
			return "", err
		}
		o.changeConfig(file)
		if text, err = json.Marshal(file); err != nil {
			return "", err
		}
	}
	path := filepath.Join(o.directory, name+".json")
	return path, os.WriteFile(path, text, 0o600)
}

// terminate sends SIGTERM and waits until the process has ended.
func (b *brokerProcess) terminate() { b.end(syscall.SIGTERM) }

// kill sends SIGKILL and waits until the process has ended.
func (b *brokerProcess) kill() { b.end(syscall.SIGKILL) }

func (b *brokerProcess) end(sig syscall.Signal) {
	_ = b.cmd.Process.Signal(sig) // fails only if the process has ended
	<-b.drained
	_ = b.cmd.Wait() // an end by the signal is no failure
}

// load sends lookups for a number of rounds. It discards the durations of the first round, in which connections are
// established.
func (b *brokerProcess) load(ctx context.Context, seed uint64, rounds int) error {
	start, durations := time.Now(), make([][]time.Duration, rounds)
	load := client.New(client.Config{
		Addr:     b.address,
		Classes:  lookups(requestRate),
		Tenants:  cluster.Tenants,
		DataSets: 24,
		Seed:     seed,
		MaxOpen:  maxOpen,
		OnRequestEnded: func(_ string, outcome conformance.Outcome, d time.Duration) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.sent++
			round := int(time.Since(start) / roundLength)
			if outcome == conformance.Served && round < rounds {
				durations[round] = append(durations[round], d)
			}
		},
	}, nil)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(rounds)*roundLength)
	defer cancel()
	if err := load.Run(ctx); err != nil {
		return err
	}
	for _, round := range durations[1:] {
		slices.Sort(round)
		b.durations = append(b.durations, round)
	}
	return nil
}

// lookups returns the classes of clients that send only lookups, at a rate in requests per second.
func lookups(rate float64) []client.Class {
	return []client.Class{{
		Engine:           classes[0],
		Rate:             rate,
		LatencyObjective: 400 * time.Millisecond,
		Timeout:          2 * time.Second,
	}}
}

// memoryMB returns the anonymous resident memory of the process in MB.
func (b *brokerProcess) memoryMB() (float64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			var kilobytes float64
			_, err := fmt.Sscan(value, &kilobytes)
			return kilobytes / bytesPerKilobyte, err
		}
	}
	return 0, fmt.Errorf("broker %s: no RssAnon in /proc/%d/status", b.name, b.cmd.Process.Pid)
}
