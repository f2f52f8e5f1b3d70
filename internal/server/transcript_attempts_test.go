package server_test

import (
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wheatlane/internal/resp"
	"wheatlane/internal/server"
	"wheatlane/internal/server/netconn"
)

// cancelScript has a broker with one engine, and a client that kills other clients' requests.
type cancelScript struct {
	tr     *transcript
	engine *scriptedEngine
	broker *scriptedBroker
	killer *scriptedClient
}

func (cs *cancelScript) kill(text string) {
	cs.tr.t.Helper()
	cs.killer.send(queryPacket(text))
	cs.killer.result()
}

// request sends a request from a new client and returns the client and the message that the engine receives.
func (cs *cancelScript) request(id int, timeout time.Duration) (*scriptedClient, message) {
	cs.tr.t.Helper()
	client := loginClient(cs.tr, "client", cs.broker.clientAddr)
	client.send(queryPacket(request("lookup", id, timeout, "")))
	return client, cs.engine.receive("want")
}

// Requests are cancelled by KILL, also with pages outstanding, by their client's disconnect and by their timeout.
func TestTranscriptOfCancelledRequests(t *testing.T) {
	tr := &transcript{t: t}
	e := newScriptedEngine(tr, "engine")
	s := startWithLongTimeouts(tr, defaultFeatures, silentChangelog(t), endpointEntry("e1", e.addr, "in_service"))
	cs := &cancelScript{tr: tr, engine: e, broker: s, killer: loginClient(tr, "killer", s.clientAddr)}

	tr.line("# KILL QUERY")
	client, _ := cs.request(1, unreachedTimeout)
	cs.kill(fmt.Sprintf("KILL QUERY %d", client.session))
	client.result()
	e.receive("never_mind")

	tr.line("# KILL QUERY, with pages left")
	client, m := cs.request(2, unreachedTimeout)
	loop := server.PauseLoop(t, s.service.Server) // both events precede the page timeout
	e.respond(m, "OK", "sheets=2", "1\t2\t3\n")
	loop.WaitForEvents(1)
	cs.killer.send(queryPacket(fmt.Sprintf("KILL QUERY %d", client.session)))
	loop.WaitForEvents(2)
	loop.Resume()
	e.receive("turn")
	cs.killer.result()
	client.result()
	e.receive("shut")

	tr.line("# KILL")
	client, _ = cs.request(3, unreachedTimeout)
	cs.kill(fmt.Sprintf("KILL %d", client.session))
	client.result()
	client.packet() // end of the connection
	e.receive("never_mind")

	tr.line("# KILL of no session")
	cs.kill("KILL QUERY 999999")

	tr.line("# the end of the client")
	client, _ = cs.request(4, unreachedTimeout)
	client.close()
	e.receive("never_mind")

	tr.line("# the end of its time")
	client, _ = cs.request(5, 3*time.Second)
	client.result()
	e.receive("never_mind")
	tr.check("cancelled")
}

// Faulty engine responses: the end of the connection and the outcome of the request.
func TestTranscriptOfEngineFaults(t *testing.T) {
	tr := &transcript{t: t}
	for _, c := range []struct {
		name  string
		class string
		fault func(m message) error
		retry bool
	}{
		{"closes, idempotent", "lookup", func(m message) error { return m.conn.Close() }, true},
		{"closes, not idempotent", "once", func(m message) error { return m.conn.Close() }, false},
		{"malformed", "lookup", func(m message) error { _, err := io.WriteString(m.conn, "?"); return err }, true},
		{"malformed answer", "lookup", func(m message) error {
			_, err := m.conn.Write(resp.Append(nil, m.parts[1], "WHAT", "-", ""))
			return err
		}, true},
		{"too large", "lookup", func(m message) error {
			_, err := io.WriteString(m.conn, "*4\r\n$99999999\r\n")
			return err
		}, true},
		{"stops in the middle", "lookup", func(m message) error {
			_, err := m.conn.Write(resp.Append(nil, m.parts[1], "OK", "sheets=1", "x\ty\tz\n")[:30])
			return err
		}, true},
	} {
		tr.line("# %s", c.name)
		e := newScriptedEngine(tr, "engine")
		s := startWithLongTimeouts(tr, defaultFeatures, silentChangelog(t),
			endpointEntry("e1", e.addr, "in_service"))
		client := loginClient(tr, "client", s.clientAddr)
		client.send(queryPacket(request(c.class, 1, unreachedTimeout, ",replay=op1")))
		m := e.receive("want")
		if err := c.fault(m); err != nil {
			t.Fatal(err)
		}
		if c.retry {
			e.respond(e.receive("want"), "OK", "sheets=1", "")
		}
		client.result()
		s.cancel()
		s.finish(netconn.ClientSide, netconn.EngineSide)
	}
	tr.check("faults")
}

// The connections to an engine are closed when it is removed from the endpoint list. An open request is retried on
// another engine.
func TestTranscriptOfRemovedEngines(t *testing.T) {
	tr := &transcript{t: t}
	e, other := newScriptedEngine(tr, "engine"), newScriptedEngine(tr, "other engine")
	var published atomic.Bool
	log := newScriptedChangelog(t, func(request string) string { // responds to each poll from revision 1 with revision 2
		if !published.Load() || strings.Contains(request, "since=2&") {
			return ""
		}
		return httpOK(endpointPage(2, true, endpointEntry("e2", other.addr, "in_service")), "")
	})
	s := startWithLongTimeouts(tr, defaultFeatures, log.addr, endpointEntry("e1", e.addr, "in_service"))
	client := loginClient(tr, "client", s.clientAddr)
	client.send(queryPacket(request("lookup", 1, unreachedTimeout, ",replay=op1")))
	e.receive("want")
	published.Store(true)
	other.respond(other.receive("want"), "OK", "sheets=1", "")
	client.result()
	s.cancel()
	s.finish(netconn.ClientSide, netconn.EngineSide)
	tr.check("gone")
}
