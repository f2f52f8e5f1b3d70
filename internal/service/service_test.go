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

const patience = 20 * time.Second // a test that waits so long has failed

// The calls at the second address go through the reducer of a broker on real sockets, from its start to its end.
func TestTheSecondAddress(t *testing.T) {
	changes := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer changes.Close()
	defer changes.CloseClientConnections()
	set, err := config.DecodeSettings([]byte(`{"PeersTotal":1,"Limits":{"MaxAttempts":2},
		"RequestClasses":[{"Name":"lookup","Effect":"repeatable","PromiseNs":400000000,"GiveUpNs":2000000000,"Worth":1}]}`))
	if err != nil {
		t.Fatal(err)
	}
	known, err := changelog.ParsePage([]byte(`{"seq":1,"results":[{"seq":1,"fleet":{"whole":true,"hosts":[
		{"host":"e1","dial":"127.0.0.1:9","health":"in_service","class":"std","born_ms":0}]}}]}`))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s, err := New(ctx, config.Config{Name: "n1", Listen: "127.0.0.1:0", AdminListen: "127.0.0.1:0", HandoverPath: t.TempDir(),
		Changelog: changes.Listener.Addr().String(), Sockets: 1024, Known: known, Settings: set}, nil, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, nil) }()
	addr := s.AdminAddr().String()
	for _, c := range []struct{ send, want string }{
		{"check", "ACK check\n"},
		{"set-down e1", "ACK set-down e1\n"},
		{"check", "NAK not_ready\n"},
		{"set-down e9", "NAK not_listed\n"},
		{"vars", "relay_cluster_size 1\nrelay_cluster_unhealthy 1\n"},
		{"set-up e1", "ACK set-up e1\n"},
		{"vars", "relay_cluster_unhealthy 0\n"},
		{"check", "ACK check\n"},
	} {
		if got := call(t, addr, c.send); !strings.Contains(got, c.want) {
			t.Errorf("%s: got %q, want %q in it", c.send, got, c.want)
		}
	}
	cancel()
	select {
	case err := <-done:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(patience):
		t.Fatal("the broker did not end")
	}
}

func call(t *testing.T, addr, line string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	io.WriteString(c, line+"\n")
	b, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}
