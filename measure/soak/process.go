package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// process is a process that the run has started. Signals go to processes of the run only, by their ids.
type process struct {
	cmd     *exec.Cmd
	readers sync.WaitGroup // readers of its output
	ended   chan struct{}  // closed once the process has ended
	err     error          // result of Wait; set before ended is closed
}

// startProcess starts a program. It calls onOutput for each line of the standard output and onError for each line of
// the standard error.
func startProcess(
	ctx context.Context, env []string, onOutput, onError func(line []byte), program string, args ...string,
) (*process, error) {
	cmd := exec.CommandContext(ctx, program, args...)
	cmd.Env = append(os.Environ(), env...)
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", program, err)
	}
	p := &process{cmd: cmd, ended: make(chan struct{})}
	p.readers.Go(func() { readLines(stdout, onOutput) })
	p.readers.Go(func() { readLines(stderr, onError) })
	go func() {
		p.readers.Wait()
		p.err = cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

const maxLineBytes = 1 << 20

func readLines(r io.Reader, f func([]byte)) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		f(lines.Bytes())
	}
	_, _ = io.Copy(io.Discard, r) // keep reading after a line over the limit, so that the process does not block
}

// signal sends a signal. It does nothing if the process has ended.
func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// waitFor waits for the process to end and reports whether it ended within the timeout.
func (p *process) waitFor(timeout time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// engineProcess is one engine behind a proxy, emulated by one process at a time.
type engineProcess struct {
	id    string
	proxy *proxy

	mu     sync.Mutex // guards newest
	newest *process
}

// start starts a process for the engine, waits until it listens, and makes it the target of the proxy. The process
// reports its later events to report.
func (e *engineProcess) start(ctx context.Context, report func(Event)) error {
	listening := make(chan string, 1)
	p, err := startRole(ctx, func(ev Event) {
		if ev.Kind == EngineListening {
			listening <- ev.Addr
			return
		}
		report(ev)
	}, engineRole, e.id)
	if err != nil {
		return err
	}
	select {
	case addr := <-listening:
		e.proxy.setTarget(addr)
	case <-p.ended:
		return fmt.Errorf("engine %s ended: %w", e.id, p.err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.newest = p
	return nil
}

// current returns the process that was started last.
func (e *engineProcess) current() *process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// startRole starts this program in another role, given by args, and calls report for each event of the process.
func startRole(ctx context.Context, report func(Event), args ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	onOutput := func(line []byte) {
		var ev Event
		if json.Unmarshal(line, &ev) == nil { // SIGKILL may truncate the last line
			report(ev)
		}
	}
	onError := func(line []byte) { fmt.Fprintf(os.Stderr, "%s: %s\n", args[0], line) }
	return startProcess(ctx, nil, onOutput, onError, self, args...)
}
