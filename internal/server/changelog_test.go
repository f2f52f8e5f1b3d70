package server

import (
	"testing"

	"go.uber.org/zap"

	"wheatlane/internal/server/netconn"
	"wheatlane/internal/socktest"
)

// A page with a lower revision than the last one is rejected: the connection ends as malformed, the endpoint list stays
// unchanged, and the change log is polled again.
func TestPageWithLowerRevisionIsRejected(t *testing.T) {
	e := newFakeEngine(t)
	s := startServer(t, inService("e1", e))
	s.publish(pageJSON(41, false, endpointJSON("e2", "127.0.0.1:1", "terminating", 0)), 41)
	s.changelog.pages <- pageJSON(3, true, endpointJSON("e9", "127.0.0.1:1", "in_service", 0))
	socktest.WaitUntil(t, "the connection ends as malformed", func() bool {
		return s.logs.FilterField(zap.String("reason", string(netconn.Malformed))).Len() > 0
	})
	s.publish(pageJSON(42, false, endpointJSON("e2", "127.0.0.1:1", "terminated", 0)), 42)
	if got := inLoop(s, func(server *Server) int { return server.loop.reducer.EndpointCount() }); got != 1 {
		t.Fatalf("endpoint list has %d engines, want only e1", got)
	}
	s.serveOn(e, 1)
}
