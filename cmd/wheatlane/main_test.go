package main

import (
	"bufio"
	"fmt"
	"net"
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

// program prepares a run of the program with a configuration.
func program(t *testing.T, settings string) *exec.Cmd {
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","changelog":"127.0.0.1:1","settings":%s}`, settings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path)
	return cmd
}

func TestABadConfigurationNamesItsKey(t *testing.T) {
	out, err := program(t, `{"RequestClasses":[{"Name":"a","Effect":"odd"}]}`).CombinedOutput()
	if err == nil || !strings.Contains(string(out), "settings.RequestClasses[0].Effect") {
		t.Fatalf("%v\n%s", err, out)
	}
}

// It listens by the time it says so, greets a client, and ends with 0 after SIGTERM.
func TestServesAndEndsWell(t *testing.T) {
	cmd := program(t, `{"PeersTotal":1,"RequestClasses":[{"Name":"a","Effect":"repeatable","GiveUpNs":1000000000}]}`)
	logs, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(logs)
	addr := ""
	for addr == "" && lines.Scan() {
		if _, rest, ok := strings.Cut(lines.Text(), `"listen":"`); ok {
			addr, _, _ = strings.Cut(rest, `"`)
		}
	}
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
