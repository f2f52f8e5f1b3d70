package main

import (
	"context"
	"encoding/json"
	"errors"
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
	readyTimeout = 10 * time.Second // a broker that does not serve within it has failed
	filePerm     = 0o600
)

// settingsTemplate is the settings object of a run. The verbs are the client timeout of lookup in nanoseconds, whether
// hedging is allowed, the number of brokers, the client timeouts of report and load, and the number of the reload,
// after which a class without requests is named.
const settingsTemplate = `{"PeersTotal":%[3]d,"RoundNs":5000000,"MachineTypes":["std-8core"],
 "Domain":{"SizeCores":[4],"KindMemoryMb":[8192],"WidthByClass":[1,2,1,1],"ClassLoad":[false,false,false,false],
  "SaysCost":true},
 "Stats":{"Fields":["queue","x1","x0"]},
 "Limits":{"Cancel":true,"MaxAttempts":4,"MaxRetryAfterNs":500000000,"RetryAfter":true,"ParallelTries":%[2]t,
  "Probing":true,"ConnectTimeoutNs":1500000000,"ConnIdleNs":4000000000,"MaxStreams":100},
 "Rules":{"ColdFrom":0.33,"WarmAfterNs":8000000000,"FallMultiple":2.5,"FallNs":1000000000,"DrainGraceNs":500000000},
 "Tenants":[{"Name":"fishing-fleet","Share":1}],
 "RequestClasses":[
  {"Name":"lookup","Effect":"repeatable","PromiseNs":400000000,"AimStretch":1.5,"GiveUpNs":%[1]d,
   "Worth":1,"LateWorth":0.3},
  {"Name":"report","Effect":"once","PromiseNs":1500000000,"AimStretch":2.5,"GiveUpNs":%[4]d,
   "Worth":5,"LateWorth":0.3},
  {"Name":"load","Effect":"by_key","WindowNs":15000000000,"PromiseNs":2000000000,"AimStretch":3,
   "GiveUpNs":%[5]d,"Worth":5,"LateWorth":0.3,"ByArrival":true},
  {"Name":"renamed-%[6]d","Effect":"repeatable","PromiseNs":400000000,"GiveUpNs":%[1]d,"Worth":1}]}`

// brokerSlot is one broker of the fleet, at a fixed address. Its processes run one after the other, or overlap during
// an upgrade.
type brokerSlot struct {
	name, listen, dir string
	adminAddresses    [2]string // of admin endpoints; processes alternate between them, as two may overlap
	program           string
	changelogProxies  [2]*proxy
	changes           *changelogserver.ChangeLog
	hedging           bool
	deployment        deployment
	fleetSize         int
	environment       func(b *brokerSlot) []string     // returns the environment (faults) of the next process
	onLine            func(b *brokerSlot, line []byte) // called for each line of output
	log               *os.File                         // nil: not logged

	mu      sync.Mutex // guards the fields below
	newest  *process
	reloads int
	starts  int
}

func (b *brokerSlot) configPath() string { return filepath.Join(b.dir, "config.json") }

// freeAddress returns a loopback address at which no process listens.
func freeAddress(ctx context.Context) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// writeConfig writes the configuration for the current number of reloads. Each reload switches between two addresses of
// the change log and between two timeouts of the first class.
func (b *brokerSlot) writeConfig() error {
	known, err := b.changes.KnownPage()
	if err != nil {
		return err
	}
	b.mu.Lock()
	n := b.reloads
	b.mu.Unlock()
	timeouts := b.deployment.timeouts
	first := timeouts[0] + time.Duration(n%2)*b.deployment.reloadDelta
	settings := fmt.Sprintf(settingsTemplate, first.Nanoseconds(), b.hedging, b.fleetSize,
		timeouts[1].Nanoseconds(), timeouts[2].Nanoseconds(), n)
	text, err := json.Marshal(map[string]any{
		"name": b.name, "listen": b.listen, "seed": "1", "changelog": b.changelogProxies[n%2].addr,
		"limits":   map[string]int{"memory_mb": b.deployment.memoryMB, "sockets": b.deployment.sockets},
		"known":    known,
		"settings": json.RawMessage(settings),
	})
	if err != nil {
		return err
	}
	next, err := os.CreateTemp(b.dir, "config.json.") // of its own: two faults may reload a broker at once
	if err != nil {
		return err
	}
	_, err = next.Write(text)
	if err := errors.Join(err, next.Close()); err != nil {
		return err
	}
	return os.Rename(next.Name(), b.configPath())
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
	adminAddress := b.adminAddresses[b.starts%2]
	b.mu.Unlock()
	env := append(b.environment(b), "RELAY_CONFIG="+b.configPath(), "TMPDIR="+b.dir, "RELAY_OPERATOR="+adminAddress)
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
	b.newest = p
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

// current returns the process that was started last.
func (b *brokerSlot) current() *process {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.newest
}

const (
	callTimeout       = time.Second
	callRetryInterval = 50 * time.Millisecond
	callRetryTimeout  = 8 * time.Second // a restarted broker answers within it
)

// callUntilAcknowledged repeats a call at the admin endpoint until the broker acknowledges it. It returns an error
// after callRetryTimeout, or once ctx has ended.
func (b *brokerSlot) callUntilAcknowledged(ctx context.Context, line string) error {
	end := time.Now().Add(callRetryTimeout)
	for ; time.Now().Before(end) && ctx.Err() == nil; pacing.Pause(ctx, callRetryInterval) {
		if b.call(ctx, line) {
			return nil
		}
	}
	return fmt.Errorf("%s did not acknowledge %q", b.name, line)
}

// call makes one call at the admin endpoint and reports whether the broker acknowledged it.
func (b *brokerSlot) call(ctx context.Context, line string) bool {
	b.mu.Lock()
	adminAddress := b.adminAddresses[b.starts%2]
	b.mu.Unlock()
	conn, err := dial(ctx, adminAddress, callTimeout)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()               // the answer has been read
	_ = conn.SetDeadline(time.Now().Add(callTimeout)) // if this fails, the write fails too
	if _, err := fmt.Fprintln(conn, line); err != nil {
		return false
	}
	answer, _ := io.ReadAll(conn) // a partial answer counts too
	return strings.HasPrefix(string(answer), "ACK")
}

// terminate ends a process as a planned restart does: by SIGTERM, and SIGKILL as early as the protocol allows it. It
// returns an error if SIGKILL was necessary or the process ended with an error.
func (b *brokerSlot) terminate(p *process) error {
	p.signal(syscall.SIGTERM)
	killAfter := b.deployment.killAfterTerm()
	if !p.waitFor(killAfter) {
		p.kill()
		return fmt.Errorf("%s had not ended %v after SIGTERM", b.name, killAfter)
	}
	if p.err != nil {
		return fmt.Errorf("%s ended after SIGTERM: %w", b.name, p.err)
	}
	return nil
}

// reload writes a new configuration and sends SIGHUP to the newest process.
func (b *brokerSlot) reload() error {
	b.mu.Lock()
	b.reloads++
	p := b.newest
	b.mu.Unlock()
	if err := b.writeConfig(); err != nil {
		return err
	}
	p.signal(syscall.SIGHUP)
	return nil
}
