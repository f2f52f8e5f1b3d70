package server_test

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	"wheatlane/control"
	"wheatlane/internal/gossip"
	"wheatlane/internal/server/netconn"
	"wheatlane/internal/socktest"
)

// The change log is polled from the last revision, on one connection while that stays open.
func TestTranscriptOfChangeLog(t *testing.T) {
	for range maxChangelogSessions {
		tr := &transcript{t: t}
		recordChangeLogSession(tr)
		if text := tr.text.String(); !strings.Contains(text, "ended: changelog "+string(netconn.PollTimeout)) &&
			!strings.Contains(text, "ended: changelog "+string(netconn.ConnectFailed)) {
			tr.check("changelog")
			return
		}
	}
	t.Fatalf("a poll timed out in each of %d sessions with the change log", maxChangelogSessions)
}

// recordChangeLogSession runs and records a session with the change log.
func recordChangeLogSession(tr *transcript) {
	tr.t.Helper()
	responses := []string{
		httpOK(endpointPage(2, false, endpointEntry("e1", "127.0.0.1:1", "terminating")), ""),
		httpOK(endpointPage(7, true, endpointEntry("e2", "127.0.0.1:2", "in_service")), "Connection: close\r\n"),
		"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
		"nonsense\r\n\r\n",
		httpOK("{", ""),
		httpOK(endpointPage(3, false), ""), // lower revision
		httpOK(`{"seq":7,"results":[]}`, ""),
	}
	requests, allReceived := len(responses)+1, make(chan struct{})
	l := newScriptedChangelog(tr.t, func(string) (response string) {
		if len(responses) > 0 {
			response, responses = responses[0], responses[1:]
			return response
		}
		select {
		case <-allReceived: // repeated after a timeout
		default:
			close(allReceived)
		}
		return ""
	})
	s := startScripted(tr, defaultFeatures, l.addr, endpointEntry("e1", "127.0.0.1:1", "in_service"))
	socktest.Receive(tr.t, allReceived, "the last request to the change log")
	s.cancel()
	for range requests {
		l.record(tr)
	}
	s.finish(netconn.ChangelogSide)
}

var unhealthyMetric = regexp.MustCompile(`relay_cluster_unhealthy \d`)

// adminCaller calls the admin endpoint.
type adminCaller struct {
	tr   *transcript
	addr string
}

// send sends a call on a new connection and returns the reply.
func (o *adminCaller) send(text string) string {
	o.tr.t.Helper()
	nc, err := (&net.Dialer{}).DialContext(o.tr.t.Context(), "tcp", o.addr)
	if err != nil {
		o.tr.t.Fatal(err)
	}
	defer func() { _ = nc.Close() }() // the broker closes it, too
	if err := nc.SetDeadline(time.Now().Add(stepTimeout)); err != nil {
		o.tr.t.Fatal(err)
	}
	if _, err := io.WriteString(nc, text); err != nil {
		o.tr.t.Fatal(err)
	}
	reply, err := io.ReadAll(nc)
	if err != nil {
		o.tr.t.Fatal(err)
	}
	return string(reply)
}

// record adds a call and its reply to the transcript.
func (o *adminCaller) record(text, reply string) {
	o.tr.line("operator > %s", shorten(text))
	for line := range strings.Lines(reply) {
		o.tr.line("operator < %q", line)
	}
}

// call sends and records calls.
func (o *adminCaller) call(texts ...string) {
	o.tr.t.Helper()
	for _, text := range texts {
		o.record(text, o.send(text))
	}
}

// waitFor polls the metrics until they contain line.
func (o *adminCaller) waitFor(line string) {
	o.tr.t.Helper()
	for end := time.Now().Add(stepTimeout); !strings.Contains(o.send("vars\n"), line); {
		if time.Now().After(end) {
			o.tr.t.Fatalf("metrics do not contain %q within %v", line, stepTimeout)
		}
	}
}

// Every call of the admin endpoint, with all metrics by name.
func TestTranscriptOfAdminEndpoint(t *testing.T) {
	unrecorded, tr := &transcript{t: t}, &transcript{t: t}
	e := newScriptedEngine(unrecorded, "engine")
	s := startWithLongTimeouts(tr, defaultFeatures, silentChangelog(t), endpointEntry("e1", e.addr, "in_service"))
	o := &adminCaller{tr: tr, addr: s.service.AdminAddr().String()}
	c := loginClient(unrecorded, "client", s.clientAddr)
	killer := loginClient(unrecorded, "killer", s.clientAddr)

	o.call("check\n", "vars\n")
	c.send(queryPacket(request("lookup", 1, unreachedTimeout, "")))
	e.respond(e.receive("want"), "OK", "sheets=1", "")
	c.result()
	c.send(queryPacket(request("once", 2, unreachedTimeout, "")))
	e.receive("want")
	killer.send(queryPacket(fmt.Sprintf("KILL QUERY %d", c.session)))
	c.result()
	e.receive("never_mind")

	c = loginClient(unrecorded, "client", s.clientAddr)
	c.send(queryPacket(request("load", 3, unreachedTimeout, ",replay=op3")))
	open := e.receive("want")
	o.call("vars\n")
	e.respond(open, "OK", "sheets=1", "")
	c.result()

	o.call("set-down e1\n", "check\n", "vars\n", "set-down e9\n", "set-up e9\n")
	c.send(queryPacket(request("lookup", 4, 300*time.Millisecond, "")))
	c.result()
	s.service.CountRejectedReload(t.Context())
	o.call("set-up e1\r\n")
	o.waitFor("relay_cluster_unhealthy 0\n")
	o.call("vars\n", "check\nvars\n", "restart\n", "set-down\n", "check 1\n", "set-up \xff\n", "\n",
		strings.Repeat("x", 5000))

	c.send(queryPacket(request("once", 5, unreachedTimeout, "")))
	e.respond(e.receive("want"), "ERR", "-", "")
	c.result()
	o.record("vars\n", unhealthyMetric.ReplaceAllString(o.send("vars\n"), "relay_cluster_unhealthy #"))
	tr.check("operator")
}

// datagramFault names the kind of an error of gossip.Parse, so that the transcript is independent of the error's text.
func datagramFault(err error) string {
	switch {
	case errors.Is(err, gossip.ErrTooLong):
		return "too long"
	case errors.Is(err, gossip.ErrVersion):
		return "version"
	case errors.Is(err, gossip.ErrTruncated):
		return "truncated"
	}
	return "unknown fault"
}

// The encoding of gossip datagrams, and the rejection of malformed ones.
func TestTranscriptOfDatagrams(t *testing.T) {
	tr := &transcript{t: t}
	many := make([]control.GossipedLoad, 100)
	for i := range many {
		age := time.Duration(i) * 20 * time.Millisecond
		many[i] = control.GossipedLoad{Engine: uint32(i), Load: float64(i) / 100, Age: age}
	}
	for _, reports := range [][]control.GossipedLoad{
		nil,
		{{Engine: control.GossipID("e1"), Load: 0.5, Age: time.Second}},
		{
			{Engine: control.GossipID("e1"), Load: 2.5, Age: 0},
			{Engine: control.GossipID("e2"), Load: 9, Age: 21 * time.Millisecond},
			{Engine: control.GossipID("e3"), Load: -1, Age: 5100 * time.Millisecond},
			{Engine: 7, Load: 1, Age: 5101 * time.Millisecond},
		},
		many,
	} {
		datagram := gossip.Append(nil, reports)
		tr.line("%d reports > %s", len(reports), hex.EncodeToString(datagram))
		parsed, err := gossip.Parse(datagram)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range parsed {
			tr.line("  engine %d, load %.2f, age %v", r.Engine, r.Load, r.Age)
		}
	}
	tooLong := "w\x01" + strings.Repeat("a", 300)
	for _, text := range []string{"", "w", "GET / HTTP/1.1", "w\x02", "w\x01abc", tooLong} {
		_, err := gossip.Parse([]byte(text))
		tr.line("%s rejected: %s", shorten(text), datagramFault(err))
	}
	tr.check("datagrams")
}
