package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// runMainVariable is the environment variable that makes the test binary run the program.
const runMainVariable = "WHEATLANE_TEST_MAIN"

// TestMain runs the program instead of the tests if the environment requests it, so that tests can start the test
// binary as the program.
func TestMain(m *testing.M) {
	if os.Getenv("RELAY_CONFIG") != "" || os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const (
	testTimeout = 20 * time.Second // a test that waits longer fails

	noChangelog = "127.0.0.1:1" // an address without a listener

	validSettings = `{"PeersTotal":1,"Limits":{"MaxAttempts":2},` +
		`"RequestClasses":[{"Name":"a","Effect":"repeatable","GiveUpNs":1000000000}]}`
)

// process is a process that runs the program.
type process struct {
	*exec.Cmd

	configPath string
	stderr     io.ReadCloser
	log        *bufio.Scanner // reads stderr
	listen     string         // the address for clients, set by startServing
}

// newProcess prepares a process whose configuration has the given settings, without starting it.
func newProcess(t *testing.T, settings string) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, noChangelog, settings)
	return newProcessWithConfig(t, path)
}

// newProcessWithConfig prepares a process with a configuration file, without starting it.
func newProcessWithConfig(t *testing.T, path string) *process {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path)
	return &process{Cmd: cmd, configPath: path}
}

func writeConfig(t *testing.T, path, changelog, settings string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(configText(changelog, settings)), 0o600); err != nil {
		t.Fatal(err)
	}
}

func configText(changelog, settings string) string {
	return fmt.Sprintf(
		`{"name":"n1","listen":"127.0.0.1:0","changelog":%q,"settings":%s}`, changelog, settings,
	)
}

// start starts the process and opens its log.
func (p *process) start(t *testing.T) {
	t.Helper()
	var err error
	if p.stderr, err = p.StderrPipe(); err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	p.log = bufio.NewScanner(p.stderr)
}

// startServing starts the process and waits until it serves.
func (p *process) startServing(t *testing.T) {
	t.Helper()
	p.start(t)
	const field = `"listen":"`
	_, afterField, _ := strings.Cut(p.waitForLine(t, field), field)
	p.listen, _, _ = strings.Cut(afterField, `"`)
}

// waitForLine reads the log up to a line that contains text, and returns that line.
func (p *process) waitForLine(t *testing.T, text string) string {
	t.Helper()
	for p.log.Scan() {
		if strings.Contains(p.log.Text(), text) {
			return p.log.Text()
		}
	}
	t.Fatalf("the log ended without a line that contains %q", text)
	return ""
}

func (p *process) signal(t *testing.T, sig syscall.Signal) {
	t.Helper()
	if err := p.Process.Signal(sig); err != nil {
		t.Fatal(err)
	}
}

// stop sends SIGTERM and waits for exit code 0.
func (p *process) stop(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	p.waitForExit(t)
}

// waitForExit reads the log to its end and waits for exit code 0.
func (p *process) waitForExit(t *testing.T) {
	t.Helper()
	p.drainLog()
	if err := p.Wait(); err != nil {
		t.Fatal(err)
	}
}

// drainLog reads the log to its end, which is the end of the process.
func (p *process) drainLog() {
	if p.log == nil {
		return
	}
	for p.log.Scan() {
		continue
	}
}

// kill ends the process with SIGKILL.
func (p *process) kill(t *testing.T) {
	t.Helper()
	if err := p.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = p.Wait() // the error reports the signal
}

// dial opens a connection that is closed at the end of the test.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // fails if the test has closed it
	return conn
}
