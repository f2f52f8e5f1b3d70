package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"wheatlane/internal/emulator/changelogserver"
	"wheatlane/internal/emulator/pacing"
)

const (
	readyTimeout = 10 * time.Second // a broker that does not serve by then has failed
	// killAfterTerm is when the protocol allows SIGKILL after SIGTERM: the longest deadline, counted as 3 s where
	// it is longer, and 0.7 s more.
	killAfterTerm = 3700 * time.Millisecond
	filePerm      = 0o600
)

// settingsTemplate are the settings of a run; the verbs are the client timeout of lookup, whether hedging is
// allowed and the number of brokers.
const settingsTemplate = `{"PeersTotal":%[3]d,"RoundNs":5000000,"MachineTypes":["std-8core"],
 "Domain":{"SizeCores":[4],"KindMemoryMb":[8192],"WidthByClass":[1,2,1],"ClassLoad":[false,false,false],
  "SaysCost":true},
 "Stats":{"Fields":["queue","x1","x0"]},
 "Limits":{"Cancel":true,"MaxAttempts":4,"MaxRetryAfterNs":500000000,"RetryAfter":true,"ParallelTries":%[2]t,
  "Probing":true,"ConnectTimeoutNs":1500000000,"ConnIdleNs":4000000000,"MaxStreams":100},
 "Rules":{"ColdFrom":0.33,"WarmAfterNs":8000000000,"FallMultiple":2.5,"FallNs":1000000000,"DrainGraceNs":500000000},
 "Tenants":[{"Name":"fishing-fleet","Share":1}],
 "RequestClasses":[
  {"Name":"lookup","Effect":"repeatable","PromiseNs":400000000,"AimStretch":1.5,"GiveUpNs":%[1]d,
   "Worth":1,"LateWorth":0.3},
  {"Name":"report","Effect":"once","PromiseNs":1500000000,"AimStretch":2.5,"GiveUpNs":2500000000,
   "Worth":5,"LateWorth":0.3},
  {"Name":"load","Effect":"by_key","WindowNs":15000000000,"PromiseNs":2000000000,"AimStretch":3,
   "GiveUpNs":3000000000,"Worth":5,"LateWorth":0.3,"ByArrival":true}]}`

// brokerSlot is a broker of the fleet, by its address. Its processes follow one another, or overlap at an upgrade.
type brokerSlot struct {
	name, listen, dir string
	operators         [2]string // processes take them in turn, as two of them may overlap
	program           string
	changelogProxies  [2]*proxy
	changes           *changelogserver.ChangeLog
	hedging           bool
	fleetSize         int
	environment       func(b *brokerSlot) []string // of the next process: its faults
	onLine            func(b *brokerSlot, line []byte)
	log               *os.File

	mu      sync.Mutex // guards what follows
	run     *process
	reloads int
	starts  int
}

func (b *brokerSlot) configPath() string { return filepath.Join(b.dir, "config.json") }

// freeAddress is a loopback address that nobody listens at.
func freeAddress(ctx context.Context) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// writeConfig writes the configuration as it is for the number of reloads so far: the address of the change log
// and the timeout of the first class change in turn.
func (b *brokerSlot) writeConfig() error {
	known, err := b.changes.KnownPage()
	if err != nil {
		return err
	}
	b.mu.Lock()
	n := b.reloads
	b.mu.Unlock()
	timeout := clientTimeouts[0] + time.Duration(n%2)*time.Second
	settings := fmt.Sprintf(settingsTemplate, timeout.Nanoseconds(), b.hedging, b.fleetSize)
	text, err := json.Marshal(map[string]any{
		"name": b.name, "listen": b.listen, "seed": "1", "changelog": b.changelogProxies[n%2].addr,
		"limits":   map[string]int{"memory_mb": 64, "sockets": 512},
		"known":    known,
		"settings": json.RawMessage(settings),
	})
	if err != nil {
		return err
	}
	next := b.configPath() + ".next"
	if err := os.WriteFile(next, text, filePerm); err != nil {
		return err
	}
	return os.Rename(next, b.configPath())
}

// start starts a process and waits until it serves.
func (b *brokerSlot) start(ctx context.Context) error {
	if err := b.writeConfig(); err != nil {
		return err
	}
	serving := make(chan struct{})
	var once sync.Once
	b.mu.Lock()
	b.starts++
	operator := b.operators[b.starts%2]
	b.mu.Unlock()
	env := append(b.environment(b), "RELAY_CONFIG="+b.configPath(), "TMPDIR="+b.dir, "RELAY_OPERATOR="+operator)
	onLine := func(line []byte) {
		if strings.Contains(string(line), `"msg":"serving"`) {
			once.Do(func() { close(serving) })
		}
		b.onLine(b, line)
	}
	p, err := startProcess(ctx, env, onLine, onLine, b.program)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.run = p
	b.mu.Unlock()
	select {
	case <-serving:
		return nil
	case <-p.ended:
		return fmt.Errorf("%s did not start: %w", b.name, p.err)
	case <-time.After(readyTimeout):
		return fmt.Errorf("%s does not serve after %v", b.name, readyTimeout)
	}
}

// current is the process that was started last.
func (b *brokerSlot) current() *process {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.run
}

const (
	callTimeout = time.Second
	callRetry   = 50 * time.Millisecond
	callWithin  = 8 * time.Second // a broker that is started again answers by then
)

// callUntil makes a call at the admin endpoint until it is acknowledged.
func (b *brokerSlot) callUntil(ctx context.Context, line string) error {
	for end := time.Now().Add(callWithin); time.Now().Before(end) && ctx.Err() == nil; pacing.Pause(ctx, callRetry) {
		if b.call(ctx, line) {
			return nil
		}
	}
	return fmt.Errorf("%s did not acknowledge %q", b.name, line)
}

// call makes one call and reports whether it was acknowledged.
func (b *brokerSlot) call(ctx context.Context, line string) bool {
	b.mu.Lock()
	operator := b.operators[b.starts%2]
	b.mu.Unlock()
	conn, err := dial(ctx, operator, callTimeout)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()               // the answer was read
	_ = conn.SetDeadline(time.Now().Add(callTimeout)) // a call that can't be bounded fails as well
	if _, err := fmt.Fprintln(conn, line); err != nil {
		return false
	}
	answer, _ := io.ReadAll(conn) // what came counts
	return strings.HasPrefix(string(answer), "ACK")
}

// terminate ends a process as a planned restart does. The error names the rule that the process broke.
func (b *brokerSlot) terminate(p *process) error {
	p.signal(syscall.SIGTERM)
	if !p.waitFor(killAfterTerm) {
		p.kill()
		return fmt.Errorf("%s had not ended %v after SIGTERM", b.name, killAfterTerm)
	}
	if p.err != nil {
		return fmt.Errorf("%s ended after SIGTERM: %w", b.name, p.err)
	}
	return nil
}

// reload writes a new configuration and sends SIGHUP.
func (b *brokerSlot) reload() error {
	b.mu.Lock()
	b.reloads++
	p := b.run
	b.mu.Unlock()
	if err := b.writeConfig(); err != nil {
		return err
	}
	p.signal(syscall.SIGHUP)
	return nil
}
