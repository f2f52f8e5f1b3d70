package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"wheatlane/internal/emulator/collector"
	"wheatlane/internal/graphite"
)

// TestMain lets the test's own binary be the program.
func TestMain(m *testing.M) {
	if os.Getenv("RELAY_CONFIG") != "" || os.Getenv("WHEATLANE_TEST_MAIN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// program prepares a run of the program with a configuration file that has these settings.
func program(t *testing.T, settings string) *exec.Cmd {
	path := filepath.Join(t.TempDir(), "config.json")
	configure(t, path, "127.0.0.1:1", settings)
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path)
	return cmd
}

func configure(t *testing.T, path, changelog, settings string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(configuration(changelog, settings)), 0o600); err != nil {
		t.Fatal(err)
	}
}

func configuration(changelog, settings string) string {
	return fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","changelog":%q,"settings":%s}`, changelog, settings)
}

const patience = 20 * time.Second // a test that waits so long has failed

const some = `{"PeersTotal":1,"Limits":{"MaxAttempts":2},"RequestClasses":[{"Name":"a","Effect":"repeatable","GiveUpNs":1000000000}]}`

func TestABadConfigurationNamesItsKey(t *testing.T) {
	out, err := program(t, `{"RequestClasses":[{"Name":"a","Effect":"odd"}]}`).CombinedOutput()
	if err == nil || !strings.Contains(string(out), "settings.RequestClasses[0].Effect") {
		t.Fatalf("%v\n%s", err, out)
	}
}

// serving starts the program and waits until it says that it serves: its log, open and by lines from there, and its address.
func serving(t *testing.T, cmd *exec.Cmd) (logs io.ReadCloser, lines *bufio.Scanner, addr string) {
	t.Helper()
	logs, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines = bufio.NewScanner(logs)
	_, rest, _ := strings.Cut(line(t, lines, `"listen":"`), `"listen":"`)
	addr, _, _ = strings.Cut(rest, `"`)
	return logs, lines, addr
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return nc
}

// started is a run of the program, its log from where it says that it serves, and a client's connection to it.
func started(t *testing.T) (*exec.Cmd, *bufio.Scanner, net.Conn) {
	t.Helper()
	cmd := program(t, some)
	_, lines, addr := serving(t, cmd)
	return cmd, lines, dial(t, addr)
}

// It listens by the time it says so, greets a client, and ends with 0 after SIGTERM.
func TestServesAndEndsWell(t *testing.T) {
	cmd, lines, nc := started(t)
	head := make([]byte, 5)
	if _, err := nc.Read(head); err != nil || head[4] != 10 {
		t.Fatalf("greeting %v, %v", head, err)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for lines.Scan() { // to the end of the log
	}
	if err := cmd.Wait(); err != nil {
		t.Fatal(err)
	}
}

// asked logs in on a connection and asks once. There is no engine, so the request waits; a ping ahead of it, answered as not
// ready, says when it was read. What the program says from there is read by next, a packet at a time.
func asked(t *testing.T, nc net.Conn) (all *bufio.Reader, next func() string) {
	t.Helper()
	packet := func(seq byte, payload string) string { return string([]byte{byte(len(payload)), 0, 0, seq}) + payload }
	const ask = "/* service=a,ref=00000000000000a1,allow=1000 */ SELECT a FROM s_1.t"
	if _, err := io.WriteString(nc, packet(1, "\x08\x82\x00\x00"+strings.Repeat("\x00", 28)+"app\x00\x00main\x00")+
		packet(0, "\x0e")+packet(0, "\x03"+ask)); err != nil {
		t.Fatal(err)
	}
	all = bufio.NewReader(nc)
	next = func() string {
		nc.SetReadDeadline(time.Now().Add(patience))
		head := make([]byte, 4)
		if _, err := io.ReadFull(all, head); err != nil {
			t.Fatal(err)
		}
		payload := make([]byte, int(head[0])|int(head[1])<<8)
		if _, err := io.ReadFull(all, payload); err != nil {
			t.Fatal(err)
		}
		return string(payload)
	}
	next()                         // the greeting
	next()                         // the login's OK
	if p := next(); p[0] != 0xff { // not ready, as there is no engine
		t.Fatalf("the ping's answer is %q", p)
	}
	return all, next
}

// A broker is killed with a request in flight and started again at its address; its client comes again at once, with the same
// request, and gets its one answer from what the new process knows.
func TestAKilledBrokersClientsComeAgain(t *testing.T) {
	cmd := program(t, some)
	_, _, addr := serving(t, cmd)
	nc := dial(t, addr)
	asked(t, nc)
	if err := cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	cmd.Wait() //nolint:errcheck // it was killed
	nc.SetReadDeadline(time.Now().Add(patience))
	if _, err := nc.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
		t.Fatalf("the killed broker's connection: %v", err)
	}
	again := program(t, some)
	again.Env = append(again.Env, "RELAY_LISTEN="+addr)
	_, lines, at := serving(t, again)
	if at != addr {
		t.Fatalf("it listens at %s, want %s", at, addr)
	}
	_, next := asked(t, dial(t, at))
	if p := next(); p[0] != 0xff || int(p[1])|int(p[2])<<8 != 1226 {
		t.Fatalf("the request's answer is %q", p)
	}
	if err := again.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for lines.Scan() { // to the end of the log
	}
	if err := again.Wait(); err != nil {
		t.Fatal(err)
	}
}

// A second SIGTERM and a SIGHUP while the program ends change nothing: what it took is answered, and it ends with 0.
func TestSignalsWhileItEnds(t *testing.T) {
	cmd, lines, nc := started(t)
	all, next := asked(t, nc)
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		if err := cmd.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
		if sig == syscall.SIGTERM {
			continue
		}
		line(t, lines, "stopping")
	}
	if p := next(); p[0] != 0xff || int(p[1])|int(p[2])<<8 != 1226 {
		t.Fatalf("the request's answer is %q", p)
	}
	if _, err := all.ReadByte(); err != io.EOF {
		t.Fatalf("the connection ended with %v", err)
	}
	for lines.Scan() { // to the end of the log
	}
	if err := cmd.Wait(); err != nil {
		t.Fatal(err)
	}
}

// Its log has nobody to read it any more: that is no reason to end.
func TestServesOnWithoutAReaderOfItsLog(t *testing.T) {
	cmd := program(t, some)
	logs, _, addr := serving(t, cmd)
	logs.Close()
	for range 3 { // each leaves a line
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := nc.Read(make([]byte, 5)); err != nil {
			t.Errorf("greeting: %v", err)
		}
		nc.Close()
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatal(err)
	}
}

// Signals that come before it serves, as it reads its configuration: SIGHUP is kept until then, and SIGTERM ends it,
// having taken nothing.
func TestSignalsBeforeItServes(t *testing.T) {
	for name, sig := range map[string]syscall.Signal{"SIGHUP": syscall.SIGHUP, "SIGTERM": syscall.SIGTERM} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			if err := syscall.Mkfifo(path, 0o600); err != nil {
				t.Fatal(err)
			}
			cmd := exec.CommandContext(t.Context(), os.Args[0])
			cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path)
			logs, err := cmd.StderrPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			// Guards against a wait without end here: both ends of the pipe open, and the program gone.
			late := time.AfterFunc(patience, func() {
				cmd.Process.Kill()
				if end, err := os.OpenFile(path, os.O_RDWR, 0); err == nil {
					defer end.Close()
				}
			})
			defer late.Stop()
			pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // once it reads
			if err != nil {
				t.Fatal(err)
			}
			defer pipe.Close()
			if err := cmd.Process.Signal(sig); err != nil {
				t.Fatal(err)
			}
			lines := bufio.NewScanner(logs)
			if sig == syscall.SIGTERM {
				for lines.Scan() {
					t.Errorf("it logs %s", lines.Text())
				}
				cmd.Wait() //nolint:errcheck // what ended it is looked at
				if by := cmd.ProcessState.Sys().(syscall.WaitStatus).Signal(); by != syscall.SIGTERM {
					t.Errorf("it was ended by %v", by)
				}
				return
			}
			if _, err := pipe.WriteString(configuration("127.0.0.1:1", some)); err != nil {
				t.Fatal(err)
			}
			pipe.Close()
			line(t, lines, "serving")
			configure(t, path, "127.0.0.1:2", some) // once it is read again
			line(t, lines, "reloaded")
			if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			for lines.Scan() { // to the end of the log
			}
			if err := cmd.Wait(); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// line reads the log up to a line that holds a text.
func line(t *testing.T, logs *bufio.Scanner, text string) string {
	t.Helper()
	for logs.Scan() {
		if strings.Contains(logs.Text(), text) {
			return logs.Text()
		}
	}
	t.Fatalf("the log ended without %q", text)
	return ""
}

// Seen on a day with new configurations: SIGHUP ended the program with 129. It reads the file again: a faulty
// one is logged with its key and changes nothing, and a new address of the change log is asked from where the
// old one had come to.
func TestReload(t *testing.T) {
	asked := make(chan string, 100)
	logAt := func(name string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			since := r.URL.Query().Get("since")
			asked <- name + " since " + since
			if since == "0" {
				io.WriteString(w, `{"seq":7,"results":[{"seq":7,"fleet":{"whole":true,"hosts":[]}}]}`)
				return
			}
			<-r.Context().Done()
		}))
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
		return s.Listener.Addr().String()
	}
	heard := func(want string) {
		t.Helper()
		select {
		case got := <-asked:
			if got != want {
				t.Fatalf("asked %s, want %s", got, want)
			}
		case <-time.After(patience):
			t.Fatalf("not asked %s", want)
		}
	}
	cmd := program(t, some)
	path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "RELAY_CONFIG=")
	configure(t, path, logAt("first"), some)
	logs, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	// A line that never comes ends the log, and with it the wait for that line.
	watchdog := time.AfterFunc(3*patience, func() { cmd.Process.Kill() })
	defer watchdog.Stop()
	lines := bufio.NewScanner(logs)
	heard("first since 0")
	heard("first since 7")
	for _, step := range []struct {
		changelog, settings, logged string
	}{
		{"nowhere", some, "changelog: "},
		{logAt("second"), `{"RoundNs":-1}`, "settings.RoundNs: "},
		{logAt("third"), some, `"reloaded"`},
	} {
		configure(t, path, step.changelog, step.settings)
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		line(t, lines, step.logged)
	}
	heard("third since 7")
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	line(t, lines, `"stopped"`)
	if err := cmd.Wait(); err != nil {
		t.Fatal(err)
	}
}

// Wrong use ends with 2 and says what to look at; what can't be done ends with 1; what can, with 0 and nothing on
// standard error.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.json")
	if err := os.WriteFile(bad, []byte(`{"telemetry":{"interval":1}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args string
		code int
		says string
	}{
		{"--version", 0, "wheatlane version"},
		{"--help", 0, "Available Commands"},
		{"completion bash", 0, "bash completion"},
		{"metrics list", 0, "in_time_share"},
		{"metrics list --json", 0, `"name": "in_time_share"`},
		{"metrics types", 0, "wheatlane_answers"},
		{"config schema", 0, `"interval_ms"`},
		{"config check ../../deploy/operator.json", 0, ""},
		{"config check " + bad, 1, "there are findings: 1 in 1 files"},
		{"config check " + dir + "/none.json", 2, "none.json"},
		{"config write ../../deploy/app.json -o " + dir + "/app", 0, "broker.json"},
		{"config check " + dir + "/app", 0, ""},
		{"config diff " + dir + "/app/broker.json " + dir + "/app/broker.json", 0, ""},
		{"config diff " + dir + "/app/broker.json " + dir + "/app/operator.json", 1, "they differ in"},
		{"config diff ../../README.md " + bad, 2, "README.md:1:1"},
		{"config explain telemetry.graphite.budget_kb --file ../../deploy/operator.json", 0, "operator.json:6:91: 512"},
		{"config explain telemetry.interval_ms", 0, "default: 10000"},
		{"config explain listen", 0, "the variable RELAY_LISTEN"},
		{"config explain settings.RequestClasses.Effect", 0, `one of: "repeatable" "by_key" "once"`},
		{"config explain telemetry.bogus", 1, "no file has a key"},
		{"config write " + bad, 1, "there are findings"},
		{"config write " + dir + "/none.json", 2, "none.json"},
		{"config checks", 0, "| R101 | fault |"},
		{"report " + bad, 1, "not a recording"},
		{"standin graphite --for 1ms --listen 127.0.0.1:0", 0, "listening on"},
		{"serve", 1, "RELAY_CONFIG: not set"},
		{"bogus", 2, `unknown command "bogus"`},
		{"--bogus", 2, "unknown flag"},
		{"metrics", 2, "a command is missing"},
		{"config check", 2, "requires at least 1 arg(s)"},
		{"metrics list --json --markdown", 2, "two forms of one list"},
		{"standin graphite --faults 1s:odd", 2, `"odd" is none of`},
		{"demo --engines 0", 2, "1 to 32 engines"},
	} {
		cmd := exec.CommandContext(t.Context(), os.Args[0], strings.Fields(c.args)...)
		cmd.Env = append(os.Environ(), "WHEATLANE_TEST_MAIN=1")
		var out, errs strings.Builder
		cmd.Stdout, cmd.Stderr = &out, &errs
		cmd.Run() //nolint:errcheck // the code tells
		if code := cmd.ProcessState.ExitCode(); code != c.code {
			t.Errorf("%s: exit code %d, want %d: %s", c.args, code, c.code, errs.String())
		}
		said, silent := out.String(), errs.String()
		if c.code != 0 {
			said, silent = errs.String(), ""
		}
		if !strings.Contains(said, c.says) || silent != "" {
			t.Errorf("%s: %q is not said in %q; %q", c.args, c.says, said, silent)
		}
	}
}

// The program with an operator's file tells a collector of itself; a faulty file at SIGHUP changes nothing, a good one
// moves it; and at SIGTERM its last interval leaves.
func TestReportsToACollector(t *testing.T) {
	first, one := standIn(t)
	second, two := standIn(t)
	cmd := program(t, some)
	own := filepath.Join(t.TempDir(), "operator.json")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(own, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(fmt.Sprintf(`{"telemetry":{"interval_ms":1000,"graphite":[{"name":"g","address":%q}]}}`, first.Addr()))
	cmd.Args = append(cmd.Args, "--operator", own)
	logs, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(logs)
	line(t, lines, `"serving"`)
	some := func(f *collector.Findings) bool { return len(f.Runs) == 1 && f.Runs[0].Broker == "n1" }
	heard(t, one, "a first interval", some)
	for _, step := range []struct{ text, logged string }{
		{`{"telemetry":{"interval_ms":1}}`, "telemetry.interval_ms: 1 is less than 1000"},
		{fmt.Sprintf(`{"telemetry":{"interval_ms":1000,"graphite":[{"name":"g","address":%q}]}}`, second.Addr()), "operator's file reloaded"},
	} {
		write(step.text)
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		line(t, lines, step.logged)
	}
	heard(t, two, "an interval at the new place", some)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	ended := line(t, lines, "destination ended")
	line(t, lines, `"stopped"`)
	if err := cmd.Wait(); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(ended, `"lost":0`) {
		t.Errorf("at the end: %s", ended)
	}
	heard(t, two, "the last interval", func(f *collector.Findings) bool {
		return some(f) && strings.Contains(ended, fmt.Sprintf(`"delivered":%d,`, f.Runs[0].Last))
	})
	for _, l := range []*collector.Reconciler{one, two} {
		if f := l.Reconcile(); !f.OK() {
			t.Errorf("%v %v %v", f.Faults, f.Unknown, f.Malformed)
		}
	}
}

// standIn is a collector to report to.
func standIn(t *testing.T) (*collector.Carbon, *collector.Reconciler) {
	t.Helper()
	ledger := collector.NewReconciler(nil)
	c, err := collector.NewCarbon("127.0.0.1:0", graphite.Form{Prefix: "wheatlane"}, false, ledger)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return c, ledger
}

// heard waits until a collector holds what is wanted.
func heard(t *testing.T, l *collector.Reconciler, what string, ok func(*collector.Findings) bool) {
	t.Helper()
	late := time.After(20 * time.Second)
	for {
		changed := l.Changed()
		if ok(l.Reconcile()) {
			return
		}
		select {
		case <-changed:
		case <-late:
			t.Fatalf("%s: not heard", what)
		}
	}
}

// A broker that is killed and started again counts from zero, which a collector can tell from a counter that fell.
func TestKilledAndStartedAgain(t *testing.T) {
	carbon, ledger := standIn(t)
	own := filepath.Join(t.TempDir(), "operator.json")
	text := fmt.Sprintf(`{"telemetry":{"interval_ms":1000,"graphite":[{"name":"g","address":%q}]}}`, carbon.Addr())
	if err := os.WriteFile(own, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for life := range 2 {
		cmd := program(t, some)
		cmd.Args = append(cmd.Args, "--operator", own)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		heard(t, ledger, "an interval", func(f *collector.Findings) bool { return len(f.Runs) == life+1 })
		if err := cmd.Process.Kill(); err != nil {
			t.Fatal(err)
		}
		cmd.Wait() //nolint:errcheck // it was killed
	}
	if f := ledger.Reconcile(); !f.OK() || f.Runs[0].Started >= f.Runs[1].Started {
		t.Fatalf("%+v", f)
	}
}
