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

// runMainVariable makes the test's own binary run the program.
const runMainVariable = "WHEATLANE_TEST_MAIN"

// TestMain lets the test's own binary be the program.
func TestMain(m *testing.M) {
	if os.Getenv("RELAY_CONFIG") != "" || os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const (
	timeout = 20 * time.Second // a test that waits this long has failed

	noChangelog = "127.0.0.1:1" // an address where nothing listens

	validSettings = `{"PeersTotal":1,"Limits":{"MaxAttempts":2},` +
		`"RequestClasses":[{"Name":"a","Effect":"repeatable","GiveUpNs":1000000000}]}`
)

// process is a run of the program.
type process struct {
	*exec.Cmd

	configPath string
	pipe       io.ReadCloser // its standard error
	log        *bufio.Scanner
	listen     string // the address for clients, once it serves
}

// newProcess prepares a run of the program whose configuration has these settings.
func newProcess(t *testing.T, settings string) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, noChangelog, settings)
	return newProcessWithConfig(t, path)
}

// newProcessWithConfig prepares a run of the program with a configuration file.
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

// start starts the program and opens its log.
func (p *process) start(t *testing.T) {
	t.Helper()
	var err error
	if p.pipe, err = p.StderrPipe(); err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	p.log = bufio.NewScanner(p.pipe)
}

// startServing starts the program and waits until it serves.
func (p *process) startServing(t *testing.T) {
	t.Helper()
	p.start(t)
	const field = `"listen":"`
	_, rest, _ := strings.Cut(p.waitForLine(t, field), field)
	p.listen, _, _ = strings.Cut(rest, `"`)
}

// waitForLine reads the log up to a line that contains a text.
func (p *process) waitForLine(t *testing.T, text string) string {
	t.Helper()
	for p.log.Scan() {
		if strings.Contains(p.log.Text(), text) {
			return p.log.Text()
		}
	}
	t.Fatalf("the log ended without %q", text)
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

// drainLog reads the log to its end, which comes with that of the program.
func (p *process) drainLog() {
	if p.log == nil {
		return
	}
	for p.log.Scan() {
		continue
	}
}

// kill ends the program without a chance to clean up.
func (p *process) kill(t *testing.T) {
	t.Helper()
	if err := p.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = p.Wait() // its error is the signal
}

// dial connects to an address for the duration of the test.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	return conn
}
