package server_test

import (
	"fmt"
	"net"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"wheatlane/internal/server"
	"wheatlane/internal/server/netconn"
	"wheatlane/internal/socktest"
)

// The tests named TestTranscript... compare every byte on the sockets of a broker with the golden files in testdata:
// the traffic with clients, engines, the change log and the admin endpoint during scripted sessions. Only values that
// vary between runs are masked with '#':
//   - the 20 random bytes of the salt in a greeting,
//   - the remaining milliseconds of a request (patience=) and of a cooldown, with the length of the string or
//     packet that contains them,
//   - the port of the change log in the Host header,
//   - the number of unhealthy engines just after an engine has failed, as the failure is detected milliseconds later.
//
// Session numbers follow from the fixed seed. A script runs one step at a time and waits for the effects of each, so
// the order of the lines is fixed. Messages sent together, and messages that the other end sends unprompted, are
// recorded in the order of the script.
//
// The script or the process may pause between two steps. These timers of the broker could expire during the pause:
//   - The latency objective and the client timeout of a class (too late for a retry, final answer), and the timeout of
//     a half-open probe of an ejected engine: startWithLongTimeouts raises both class settings to unreachedTimeout, so
//     that each timer is longer than a test. Retired stream ids stay retired for as long.
//   - enginepool.SilenceThreshold (500 ms) and livenessTimeout (250 ms), after which a connection to an engine is
//     replaced, the idle close of these connections (idleCloseFraction of their idle timeout) and their connect
//     timeout: DisableConnectionTimeouts raises the threshold, so that no liveness probe is sent, and both timeouts.
//     They have their usual values in TestTranscriptOfLivenessProbe, which tests them. That test accepts the messages
//     on the request's connection in any order, and its script has no step in between.
//   - pageTimeout of the reducer (500 ms): an engine sends further pages together with the first one, or the loop is
//     paused until the next event has arrived as well, see PauseLoop.
//   - partialResponseTimeout, partialPageTimeout and partialMessageTimeout of the connections to engines, to the change
//     log and to clients: each message is sent in one write. One session with an engine tests partialResponseTimeout.
//   - loginTimeout of clients (2 s): they send their login as they connect.
//   - The timeout of a change log poll (pollTimeout plus pollGrace, 1.4 s): the change log responds on the goroutine
//     that reads the request. A change log that publishes also responds to the following poll. The session with the
//     change log is repeated if the broker counted a poll without a response, as that adds requests to the session.
//   - loadProbeTimeout of the reducer: load probes are enabled only in the liveness session, which does not record
//     them.
//   - The steps of a shutdown (the listener closes after 1 s, final answers are sent after 3.45 s): they are fixed by
//     the protocol. Between the signal and the last answers the script only sends one request; the engine responds
//     automatically, and the answers to the clients are buffered in their sockets.
//   - Client timeouts that a script waits for (300 ms and 3 s): the answer does not depend on the delay. In the session
//     with cancelled requests the broker has 3 s to forward the request first.
//   - Timers that only a pause within the broker can reach, not a pause of a script: maxSendDelay of package enginepool
//     (400 ms from queueing a message to its write), lingerDuration of package netconn (200 ms) and finalReadTimeout of
//     package frontend (20 ms). No setting raises them, and the tests don't either.

const stepTimeout = 20 * time.Second // limit of one step of a script, after which the test fails

// transcript collects the lines of a scripted session.
type transcript struct {
	t    *testing.T
	text strings.Builder
}

func (tr *transcript) line(format string, args ...any) {
	fmt.Fprintf(&tr.text, format+"\n", args...)
}

// check compares the transcript with its golden file.
func (tr *transcript) check(name string) {
	tr.t.Helper()
	server.CompareGolden(tr.t, name, tr.text.String())
}

const (
	comQuit   = "\x01"
	comInitDB = "\x02"
	comPing   = "\x0e"
	comReset  = "\x1f"

	clientTimeout = 15 * time.Second // of requests whose timeout is not under test

	maxChangelogSessions = 20 // limit of repetitions after a poll without a response
)

// unreachedTimeout is the latency objective and client timeout that startWithLongTimeouts sets for classes, and the
// client timeout of their requests.
const unreachedTimeout = 10 * time.Minute

var classTimes = regexp.MustCompile(`"(PromiseNs|GiveUpNs)":\d+`)

// startWithLongTimeouts starts a broker on which neither the timeouts of classes nor those of engine connections expire
// during a test.
func startWithLongTimeouts(
	tr *transcript, allowed allowedFeatures, changelogAddr string, endpoints ...string,
) *scriptedBroker {
	tr.t.Helper()
	times := fmt.Sprintf(`"$1":%d`, unreachedTimeout.Nanoseconds())
	allowed.classes = classTimes.ReplaceAllString(allowed.classes, times)
	s := startScripted(tr, allowed, changelogAddr, endpoints...)
	server.DisableConnectionTimeouts(s.service.Server)
	return s
}

// A client sends one command after the other: a ping, a request with a result of three pages, one that is retried, one
// that fails, and quit.
func TestTranscriptOfServedRequests(t *testing.T) {
	tr := &transcript{t: t}
	e := newScriptedEngine(tr, "engine")
	s := startWithLongTimeouts(tr, defaultFeatures, silentChangelog(t), endpointEntry("e1", e.addr, "in_service"))
	c := loginClient(tr, "client", s.clientAddr)
	c.send(packetOf(0, comPing))
	c.result()
	c.send(packetOf(0, comReset))
	c.result()
	c.send(packetOf(0, comInitDB+"main"))
	c.result()

	c.send(queryPacket(request("lookup", 1, unreachedTimeout, ",replay=op1")))
	m := e.receive("want")
	e.respondTogether(m, // further pages arrive before their timeout can expire
		responseTo(m, "OK", "sheets=3,toil=5,room=1", "1\t2\t3\n"),
		responseTo(m, "ROWS", "sheet=2", "7\t8\t9\n"),
		responseTo(m, "ROWS", "sheet=1", "4\t\t6\n"))
	e.receive("turn")
	e.receive("turn")
	c.result()

	c.send(queryPacket(request("lookup", 2, unreachedTimeout, ",dup=1"))) // client retry, BUSY at first
	e.respond(e.receive("want"), "BUSY", "-", "")
	e.respond(e.receive("want"), "OK", "sheets=1", "")
	c.result()

	c.send(queryPacket(request("load", 3, unreachedTimeout, ",replay=op3,lookup=7f3a9c21e0b4d655")))
	e.respond(e.receive("want"), "ERR", "-", "")
	e.respond(e.receive("want"), "OK", "sheets=1", "x\ty\tz\n")
	c.result()

	c.send(queryPacket(request("once", 4, unreachedTimeout, "")))
	e.respond(e.receive("want"), "ERR", "-", "")
	c.result()
	c.send(packetOf(0, comQuit))
	c.packet()
	s.cancel()
	s.finish(netconn.ClientSide, netconn.EngineSide)
	tr.check("served")
}

// A request with a memory estimate, where engines support memory grants and priorities.
func TestTranscriptOfGrantsAndPriorities(t *testing.T) {
	tr := &transcript{t: t}
	e := newScriptedEngine(tr, "engine")
	allowed := allowedFeatures{grants: true, priorities: true, classes: lookupClass}
	s := startWithLongTimeouts(tr, allowed, silentChangelog(t),
		endpointEntry("e1", e.addr, "in_service"))
	c := loginClient(tr, "client", s.clientAddr)
	c.send(queryPacket(request("lookup", 1, unreachedTimeout, ",replay=op1,ram=512")))
	e.respond(e.receive("want"), "OK", "sheets=1", "")
	c.result()
	tr.check("grants")
}

// Statements with missing or invalid fields, and unsupported commands.
func TestTranscriptOfInvalidRequests(t *testing.T) {
	tr := &transcript{t: t}
	s := startScripted(tr, defaultFeatures, silentChangelog(t), endpointEntry("e1", "127.0.0.1:1", "terminating"))
	c := loginClient(tr, "client", s.clientAddr)
	for _, text := range []string{
		"SELECT 1",
		"/* service */ SELECT 1",
		"/* service=lookup */ SELECT 1",
		"/* service=lookup,ref=0000000000000001 */ SELECT 1",
		"/* service=lookup,ref=1,allow=1000 */ SELECT 1",
		"/* service=lookup,ref=0000000000000001,allow=0 */ SELECT 1",
		"/* service=lookup,ref=0000000000000001,allow=1000,replay=a=b */ SELECT 1",
		"/* service=lookup,ref=0000000000000001,allow=1000,lookup=7 */ SELECT 1",
		"/* service=lookup,ref=0000000000000001,allow=1000,effort=x */ SELECT 1",
		"/* service=lookup,ref=0000000000000001,allow=1000,ram=-1 */ SELECT 1",
		"/* service=lookup,ref=0000000000000001,allow=1000 */",
		request("unknown", 1, clientTimeout, ""),
		request("lookup", 1, time.Hour, ""),
		request("load", 1, clientTimeout, ""),
		request("lookup", 1, 5*time.Millisecond, ""),
	} {
		c.send(queryPacket(text))
		c.result()
	}
	c.send(packetOf(0, "\x1d"))
	c.result()
	c.send(packetOf(0, comInitDB+"x"))
	c.result()
	c.send(packetOf(0, comPing)) // no engine is available
	c.result()
	c.send(queryPacket(request("lookup", 1, 300*time.Millisecond, "")))
	c.result()
	tr.check("invalid")
}

// Malformed messages: each is answered with an error and ends its connection.
func TestTranscriptOfMalformedMessages(t *testing.T) {
	tr := &transcript{t: t}
	s := startScripted(tr, defaultFeatures, silentChangelog(t), endpointEntry("e1", "127.0.0.1:1", "terminating"))
	for _, tt := range []struct{ name, login, command string }{
		{"wrong user", loginPacket("root", "main"), ""},
		{"wrong database", loginPacket("app", "x"), ""},
		{"password", packetOf(1, "\x08\x82\x00\x00"+strings.Repeat("\x00", 28)+"app\x00\x01pmain\x00"), ""},
		{"no login", packetOf(1, "hello"), ""},
		{"login out of sequence", packetOf(3, "hello"), ""},
		{"too large", loginPacket("app", "main"), string([]byte{0, 0, 255, 0}) + "\x03SELECT"},
		{"out of sequence", loginPacket("app", "main"), packetOf(9, comPing)},
		{"empty", loginPacket("app", ""), packetOf(0, "")},
	} {
		tr.line("# %s", tt.name)
		client := dialClient(tr, "client", s.clientAddr, tt.login)
		client.packet()
		if tt.command != "" {
			client.send(tt.command)
			client.packet()
		}
		client.packet() // end of the connection
	}
	s.cancel()
	s.finish(netconn.ClientSide)
	tr.check("malformed")
}

// A graceful shutdown: new requests are still served, open requests are answered, then the connections end.
func TestTranscriptOfShutdown(t *testing.T) {
	tr := &transcript{t: t}
	e := newScriptedEngine(tr, "engine")
	s := startWithLongTimeouts(tr, defaultFeatures, silentChangelog(t), endpointEntry("e1", e.addr, "in_service"))
	a, b := loginClient(tr, "client a", s.clientAddr), loginClient(tr, "client b", s.clientAddr)
	a.send(queryPacket(request("lookup", 1, unreachedTimeout, "")))
	first := e.receive("want")
	tr.line("# stop")
	received := e.respondToNextThen(responseTo(first, "OK", "sheets=1", ""))
	close(s.stop)
	b.send(queryPacket(request("lookup", 2, unreachedTimeout, "")))
	second := socktest.Receive(t, received, "want at engine")
	e.record(second, "want")
	e.recordResponse(second, responseTo(second, "OK", "sheets=1", ""))
	b.result()
	e.recordResponse(first, responseTo(first, "OK", "sheets=1", ""))
	a.result()
	a.packet()
	b.packet()
	s.finish(netconn.ClientSide, netconn.EngineSide)
	tr.check("shutdown")
}

// receiveCommands receives messages until all given commands have arrived on one connection, and returns the messages
// by command. It responds to load probes. The cancellation (never_mind) and the liveness probe (there) are due at the
// same time and may arrive in either order. A retry follows on another connection if the response to the liveness probe
// is overdue.
func receiveCommands(e *scriptedEngine, commands []string) map[string]message {
	e.tr.t.Helper()
	byConn := map[net.Conn]map[string]message{}
	for {
		m := socktest.Receive(e.tr.t, e.messages, strings.Join(commands, ", "))
		if m.parts[0] == "busy" {
			_, _ = m.conn.Write(responseTo(m, "UP", "-", "")) // the probe may have timed out and closed its connection
			continue
		}
		if !slices.Contains(commands, m.parts[0]) {
			e.tr.t.Fatalf("%s received %q, want one of the commands %q", e.name, m.parts, commands)
		}
		if byConn[m.conn] == nil {
			byConn[m.conn] = map[string]message{}
		}
		byConn[m.conn][m.parts[0]] = m
		if len(byConn[m.conn]) == len(commands) {
			return byConn[m.conn]
		}
	}
}

// An engine with an overdue response receives a liveness probe. Load probes may arrive at any time and are not
// recorded; TestEngineCommandsMatchGoldenFile of package enginepool covers their bytes.
func TestTranscriptOfLivenessProbe(t *testing.T) {
	tr := &transcript{t: t}
	e := newScriptedEngine(tr, "engine")
	s := startScripted(tr, allowedFeatures{probing: true, classes: classes}, silentChangelog(t),
		endpointEntry("e1", e.addr, "in_service"))
	c := loginClient(tr, "client", s.clientAddr)
	c.send(queryPacket(request("load", 1, clientTimeout, ",replay=op1")))
	commands := []string{"want", "never_mind", "there"}
	messages := receiveCommands(e, commands)
	for _, command := range commands {
		tr.line("engine < %q", messages[command].masked())
	}
	tr.check("liveness")
}
