package service

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"wheatlane/internal/changelog"
	"wheatlane/internal/config"
)

const testTimeout = 20 * time.Second // a test that waits longer fails

// adminConfig returns the configuration of a broker with an admin endpoint and one engine.
func adminConfig(t *testing.T, changelogAddr string) config.Config {
	t.Helper()
	settings, err := config.DecodeSettings([]byte(`{"PeersTotal":1,"Limits":{"MaxAttempts":2},"RequestClasses":[
		{"Name":"lookup","Effect":"repeatable","PromiseNs":400000000,"GiveUpNs":2000000000,"Worth":1}]}`))
	if err != nil {
		t.Fatal(err)
	}
	known, err := changelog.ParsePage([]byte(`{"seq":1,"results":[{"seq":1,"fleet":{"whole":true,"hosts":[
		{"host":"e1","dial":"127.0.0.1:9","health":"in_service","class":"std","born_ms":0}]}}]}`))
	if err != nil {
		t.Fatal(err)
	}
	return config.Config{
		Name: "n1", Listen: "127.0.0.1:0", AdminListen: "127.0.0.1:0", HandoverPath: t.TempDir(),
		Changelog: changelogAddr, MaxDescriptors: 1024, InitialEndpoints: known, Settings: settings,
	}
}

// A broker on real sockets executes the calls of its admin endpoint, each with the effects of the previous ones, and
// ends without an error.
func TestAdminEndpointCalls(t *testing.T) {
	blockUntilClosed := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	changeLog := httptest.NewServer(http.HandlerFunc(blockUntilClosed))
	defer changeLog.Close()
	defer changeLog.CloseClientConnections()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s, err := New(ctx, adminConfig(t, changeLog.Listener.Addr().String()), nil, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, nil) }()
	addr := s.AdminAddr().String()
	for _, c := range []struct{ name, send, want string }{
		{"ready", "check", "ACK check\n"},
		{"set-down", "set-down e1", "ACK set-down e1\n"},
		{"not ready without an engine", "check", "NAK not_ready\n"},
		{"set-down of an unknown engine", "set-down e9", "NAK not_listed\n"},
		{"vars in maintenance", "vars", "relay_cluster_size 1\nrelay_cluster_unhealthy 1\n"},
		{"set-up", "set-up e1", "ACK set-up e1\n"},
		{"vars after maintenance", "vars", "relay_cluster_unhealthy 0\n"},
		{"ready again", "check", "ACK check\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := call(t, addr, c.send); !strings.Contains(got, c.want) {
				t.Errorf("got %q, want it to contain %q", got, c.want)
			}
		})
	}
	cancel()
	select {
	case err := <-done:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(testTimeout):
		t.Fatalf("the broker did not end within %v", testTimeout)
	}
}

// call sends a line to the admin endpoint and returns the reply.
func call(t *testing.T, addr, line string) string {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = conn.Close() // the reply has been read
	}()
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		t.Fatal(err)
	}
	reply, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(reply)
}
