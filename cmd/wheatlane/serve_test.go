package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

func TestInvalidConfigurationNamesItsKey(t *testing.T) {
	out, err := newProcess(t, `{"RequestClasses":[{"Name":"a","Effect":"odd"}]}`).CombinedOutput()
	if err == nil || !strings.Contains(string(out), "settings.RequestClasses[0].Effect") {
		t.Fatalf("got error %v, want a failure that names settings.RequestClasses[0].Effect:\n%s", err, out)
	}
}

const protocolVersion = 10 // the first byte of a greeting's payload

// readGreeting reads the start of a broker's greeting.
func readGreeting(t *testing.T, conn net.Conn) {
	t.Helper()
	head := make([]byte, 5)
	if _, err := conn.Read(head); err != nil || head[4] != protocolVersion {
		t.Fatalf("got greeting %v, error %v; want protocol version %d", head, err, protocolVersion)
	}
}

// The program listens when it logs that it serves, greets a client, and exits with 0 after SIGTERM.
func TestServesUntilTermination(t *testing.T) {
	p := newProcess(t, validSettings)
	p.startServing(t)
	readGreeting(t, dial(t, p.listen))
	p.stop(t)
}

// requester is a client that has sent one request.
type requester struct {
	conn   net.Conn
	reader *bufio.Reader
}

const (
	errorPacket       = 0xff // the first byte of an error packet
	resourceLimitCode = 1226 // the error code of a request that was rejected
)

// sendRequest logs in on a connection and sends a request, which is queued, as there is no engine. A ping is sent ahead
// of it: its reply, an error as the broker is not ready, shows that the request has been read.
func sendRequest(t *testing.T, conn net.Conn) *requester {
	t.Helper()
	const request = "/* service=a,ref=00000000000000a1,allow=1000 */ SELECT a FROM s_1.t"
	login := mysqlPacket(1, "\x08\x82\x00\x00"+strings.Repeat("\x00", 28)+"app\x00\x00main\x00")
	ping := mysqlPacket(0, "\x0e")
	query := mysqlPacket(0, "\x03"+request)
	if _, err := io.WriteString(conn, login+ping+query); err != nil {
		t.Fatal(err)
	}
	c := &requester{conn, bufio.NewReader(conn)}
	c.nextPacket(t) // the greeting
	c.nextPacket(t) // the OK of the login
	if p := c.nextPacket(t); p[0] != errorPacket {
		t.Fatalf("got reply %q to the ping, want an error packet", p)
	}
	return c
}

func mysqlPacket(sequence byte, payload string) string {
	return string([]byte{byte(len(payload)), 0, 0, sequence}) + payload
}

// nextPacket reads the payload of the next packet from the broker.
func (c *requester) nextPacket(t *testing.T) string {
	t.Helper()
	if err := c.conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	head := make([]byte, 4)
	if _, err := io.ReadFull(c.reader, head); err != nil {
		t.Fatal(err)
	}
	payload := make([]byte, int(head[0])|int(head[1])<<8)
	if _, err := io.ReadFull(c.reader, payload); err != nil {
		t.Fatal(err)
	}
	return string(payload)
}

// wantRejection reads the reply to the request, which must be a rejection.
func (c *requester) wantRejection(t *testing.T) {
	t.Helper()
	p := c.nextPacket(t)
	if p[0] != errorPacket || int(p[1])|int(p[2])<<8 != resourceLimitCode {
		t.Fatalf("got reply %q to the request, want error code %d", p, resourceLimitCode)
	}
}

// wantEnd waits for the end of the connection, without further data.
func (c *requester) wantEnd(t *testing.T) {
	t.Helper()
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("the connection ended with error %v, want EOF", err)
	}
}

// wantReset waits for the end of the connection to a killed broker.
func (c *requester) wantReset(t *testing.T) {
	t.Helper()
	if err := c.conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.conn.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
		t.Fatalf("read from the killed broker: got error %v, want the end of the connection", err)
	}
}

// A broker is killed while a request is queued, and restarted at the same address. A client that reconnects immediately
// and repeats the request gets exactly one reply, from the state of the new process.
func TestClientReconnectsToKilledBroker(t *testing.T) {
	killed := newProcess(t, validSettings)
	killed.startServing(t)
	first := sendRequest(t, dial(t, killed.listen))
	killed.kill(t)
	first.wantReset(t)
	restarted := newProcess(t, validSettings)
	restarted.Env = append(restarted.Env, "RELAY_LISTEN="+killed.listen)
	restarted.startServing(t)
	if restarted.listen != killed.listen {
		t.Fatalf("the restarted broker listens at %s, want %s", restarted.listen, killed.listen)
	}
	sendRequest(t, dial(t, restarted.listen)).wantRejection(t)
	restarted.stop(t)
}

// A SIGTERM or SIGHUP during the shutdown must not abort it: accepted requests are answered, and the program exits with
// 0.
func TestSignalsDuringShutdownAreIgnored(t *testing.T) {
	p := newProcess(t, validSettings)
	p.startServing(t)
	client := sendRequest(t, dial(t, p.listen))
	const term, hangup = syscall.SIGTERM, syscall.SIGHUP
	for _, sig := range []syscall.Signal{term, term, hangup, term} {
		p.signal(t, sig)
		if sig == hangup {
			p.waitForLine(t, "stopping")
		}
	}
	client.wantRejection(t)
	client.wantEnd(t)
	p.waitForExit(t)
}

// The program continues to serve after the reader of its log has closed the pipe, which makes writes raise SIGPIPE.
func TestServesAfterLogReaderHasClosed(t *testing.T) {
	p := newProcess(t, validSettings)
	p.startServing(t)
	if err := p.stderr.Close(); err != nil {
		t.Fatal(err)
	}
	for range 3 { // each connection logs a line
		conn := dial(t, p.listen)
		readGreeting(t, conn)
		if err := conn.Close(); err != nil {
			t.Fatal(err)
		}
	}
	p.stop(t)
}

// The program continues to serve while the reader of its log is stalled, so that the pipe is full and writes to it
// block.
func TestServesWithStalledLogReader(t *testing.T) {
	const connections = 1000 // their log lines exceed the capacity of a pipe, and their number the broker's limit
	path := filepath.Join(t.TempDir(), "config.json")
	text := strings.Replace(configText(noChangelog, validSettings), `"listen"`, `"limits":{"sockets":64},"listen"`, 1)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := newProcessWithConfig(t, path)
	p.startServing(t)
	for range connections {
		conn := dial(t, p.listen)
		if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Read(make([]byte, 1)); err != nil { // a greeting, or a rejection
			t.Fatal(err)
		}
		if err := conn.Close(); err != nil {
			t.Fatal(err)
		}
	}
	p.stop(t)
}

// startReadingPipe starts the program with a named pipe as its configuration file, and returns the pipe once the
// program waits for its content.
func startReadingPipe(t *testing.T) (*process, *os.File) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	p := newProcessWithConfig(t, path)
	p.start(t)
	// If the program never opens the pipe, the open below would block forever. So the watchdog opens both ends after
	// the timeout.
	watchdog := time.AfterFunc(testTimeout, func() {
		_ = p.Process.Kill() // fails if the process has ended
		if bothEnds, err := os.OpenFile(path, os.O_RDWR, 0); err == nil {
			_ = bothEnds.Close() // the open below has succeeded
		}
	})
	t.Cleanup(func() { watchdog.Stop() })
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = pipe.Close() }) // fails if the test has closed it
	return p, pipe
}

// A SIGHUP while the program reads its configuration must be neither fatal nor lost: the program reloads its
// configuration once it serves.
func TestHangupBeforeServingReloads(t *testing.T) {
	p, pipe := startReadingPipe(t)
	p.signal(t, syscall.SIGHUP)
	if _, err := pipe.WriteString(configText(noChangelog, validSettings)); err != nil {
		t.Fatal(err)
	}
	if err := pipe.Close(); err != nil {
		t.Fatal(err)
	}
	p.waitForLine(t, "serving")
	writeConfig(t, p.configPath, "127.0.0.1:2", validSettings) // blocks until it is read again
	p.waitForLine(t, "reloaded")
	p.stop(t)
}

// A SIGTERM before the program serves ends it immediately, without a log line.
func TestTerminationBeforeServingEndsProcess(t *testing.T) {
	p, _ := startReadingPipe(t)
	p.signal(t, syscall.SIGTERM)
	for p.log.Scan() {
		t.Errorf("got log line %s, want none", p.log.Text())
	}
	_ = p.Wait() // the error reports the signal
	status, ok := p.ProcessState.Sys().(syscall.WaitStatus)
	if !ok || status.Signal() != syscall.SIGTERM {
		t.Errorf("the process ended with %v, want SIGTERM", p.ProcessState)
	}
}

// A SIGHUP must not end the program during its startup, before main has registered for signals.
func TestHangupDuringStartupIsNotFatal(t *testing.T) {
	for range 2 {
		p := newProcess(t, validSettings)
		p.start(t)
		waitForDisposition(t, p.Process.Pid)
		p.signal(t, syscall.SIGHUP)
		p.waitForLine(t, `"msg":"serving"`)
		p.stop(t)
	}
}

// waitForDisposition waits until a process ignores or catches SIGHUP.
func waitForDisposition(t *testing.T, pid int) {
	t.Helper()
	const hangupBit = 1 << (int(syscall.SIGHUP) - 1)
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); runtime.Gosched() {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(status)) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), ":\t")
			if name != "SigIgn" && name != "SigCgt" {
				continue
			}
			if mask, err := strconv.ParseUint(value, 16, 64); err == nil && mask&hangupBit != 0 {
				return
			}
		}
	}
	t.Fatalf("the process does not ignore or catch SIGHUP after %v", testTimeout)
}
