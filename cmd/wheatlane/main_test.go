package main

import (
	"bufio"
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
)

// TestMain lets the test's own binary be the program.
func TestMain(m *testing.M) {
	if os.Getenv("RELAY_CONFIG") != "" {
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
	text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","changelog":%q,"settings":%s}`, changelog, settings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

const some = `{"PeersTotal":1,"RequestClasses":[{"Name":"a","Effect":"repeatable","GiveUpNs":1000000000}]}`

func TestABadConfigurationNamesItsKey(t *testing.T) {
	out, err := program(t, `{"RequestClasses":[{"Name":"a","Effect":"odd"}]}`).CombinedOutput()
	if err == nil || !strings.Contains(string(out), "settings.RequestClasses[0].Effect") {
		t.Fatalf("%v\n%s", err, out)
	}
}

// It listens by the time it says so, greets a client, and ends with 0 after SIGTERM.
func TestServesAndEndsWell(t *testing.T) {
	cmd := program(t, some)
	logs, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(logs)
	_, rest, _ := strings.Cut(line(t, lines, `"listen":"`), `"listen":"`)
	addr, _, _ := strings.Cut(rest, `"`)
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
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
		if got := <-asked; got != want {
			t.Fatalf("asked %s, want %s", got, want)
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
