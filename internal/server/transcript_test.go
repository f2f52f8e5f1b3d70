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

// The tests named TestTranscript... hold every byte on the sockets of a broker to the golden files in testdata: what
// clients, engines, the change log and the operator's address see during scripted sessions. Masked with '#',
// since they vary by nature, are only:
//   - the 20 random bytes of the salt in a greeting,
//   - the milliseconds that are left of a request's time (patience=) and those of a cooldown, with the length
//     of the string or packet that holds them,
//   - the port of the change log in the header Host,
//   - how many engines are unhealthy just after one has failed, as that is found out milliseconds later.
//
// Session numbers follow from the seed, which is fixed. A script does one step after the other and waits for
// what each step causes, so the order of the lines does not vary. What was sent at once, and what the other
// end does of its own accord, is recorded in the order of the script.
//
// A script, or the process, may stand still between two steps. These timers of the program could expire then:
//   - the objective and the client timeout of a class (too late for a retry, final answer), the time of a
//     half-open probe of an ejected engine: startPatient raises both to patience, so that each is longer than
//     a test. Retired ids of streams stay retired for as long.
//   - silenceThreshold and livenessTimeout (500 ms, 250 ms: the connection is replaced), the idle close of
//     connections to engines (60 % of their idle timeout), their connect timeout: KeepConnectionsFresh turns
//     them off. They stay on where TestTranscriptOfALivenessCheck is about them; it takes what comes on the
//     connection of the request, and no step of its script lies between.
//   - pageTimeout (500 ms): an engine sends pages together with the first, or the loop is held until
//     the next event has come as well, see HoldLoop.
//   - partialResponseTimeout, partialPageTimeout, partialMessageTimeout: messages are sent with one write.
//     One session with an engine is about the first.
//   - loginTimeout (2 s): clients send their login as they connect.
//   - the end of a poll of the change log (1.4 s): the log answers on the goroutine that reads the request. A
//     log that publishes answers the poll that follows as well; the session with the log is played again if
//     the broker counted a poll without an answer, which would add requests to it.
//   - loadProbeTimeout: probes are on in the session on liveness only, which passes over them.
//   - the steps of a shutdown (listeners close after 1 s, final answers leave after 3.45 s): these are fixed by
//     the protocol. Between the signal and the last answers the script only sends a request; the engine
//     answers by itself, and what the clients are sent waits in their sockets.
//   - client timeouts that a script waits for (300 ms, 3 s): the answer is the same however late. In the session
//     on cancelled requests the broker has 3 s to forward the request before.
//   - those that only a standstill inside the broker can reach, not one of a script: maxEngineSendDelay
//     (400 ms from queueing a message to its write), lingerDuration (200 ms), finalReadTimeout. No setting
//     raises them, and nothing here does.

const stepTimeout = 20 * time.Second // a step of a script that takes so long has failed

// transcript gathers the lines of a scripted session.
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

	waits = 15 * time.Second // how long the client of a request waits

	maxStalledPolls = 20 // sessions with the change log that stalls may spoil
)

// patience is the objective and the client timeout of patient classes, and that of their requests.
const patience = 10 * time.Minute

var classTimes = regexp.MustCompile(`"(PromiseNs|GiveUpNs)":\d+`)

// startPatient runs a broker whose classes leave all requests time, and that takes no engine for silent.
func startPatient(tr *transcript, allowed features, changelogAddr string, hosts ...string) *stage {
	tr.t.Helper()
	times := fmt.Sprintf(`"$1":%d`, patience.Nanoseconds())
	allowed.classes = classTimes.ReplaceAllString(allowed.classes, times)
	s := start(tr, allowed, changelogAddr, hosts...)
	server.KeepConnectionsFresh(s.service.Server)
	return s
}

// A client that asks for one thing after the other: a result of three pages, a ping, a refusal, a failure.
func TestTranscriptOfServedRequests(t *testing.T) {
	tr := &transcript{t: t}
	e := newScriptedEngine(tr, "engine")
	s := startPatient(tr, plain, silentLog(t), hostEntry("e1", e.addr, "in_service"))
	c := loginClient(tr, "client", s.clients)
	c.send(packetOf(0, comPing))
	c.result()
	c.send(packetOf(0, comReset))
	c.result()
	c.send(packetOf(0, comInitDB+"main"))
	c.result()

	c.send(queryPacket(request("lookup", 1, patience, ",replay=op1")))
	m := e.next("want")
	e.answerAtOnce(m, // the further pages arrive before their timeout can expire
		answerTo(m, "OK", "sheets=3,toil=5,room=1", "1\t2\t3\n"),
		answerTo(m, "ROWS", "sheet=2", "7\t8\t9\n"),
		answerTo(m, "ROWS", "sheet=1", "4\t\t6\n"))
	e.next("turn")
	e.next("turn")
	c.result()

	c.send(queryPacket(request("lookup", 2, patience, ",dup=1"))) // a retry on an engine that has no capacity
	e.answer(e.next("want"), "BUSY", "-", "")
	e.answer(e.next("want"), "OK", "-", "")
	c.result()

	c.send(queryPacket(request("load", 3, patience, ",replay=op3,lookup=7f3a9c21e0b4d655")))
	e.answer(e.next("want"), "ERR", "-", "")
	e.answer(e.next("want"), "OK", "sheets=1", "x\ty\tz\n")
	c.result()

	c.send(queryPacket(request("once", 4, patience, "")))
	e.answer(e.next("want"), "ERR", "-", "")
	c.result()
	c.send(packetOf(0, comQuit))
	c.packet()
	s.cancel()
	s.finish(netconn.ClientSide, netconn.EngineSide)
	tr.check("served")
}

// A request with an estimate of its memory where engines heed grants and priorities.
func TestTranscriptOfGrantsAndPriorities(t *testing.T) {
	tr := &transcript{t: t}
	e := newScriptedEngine(tr, "engine")
	s := startPatient(tr, features{grants: true, priorities: true, classes: lookupClass}, silentLog(t),
		hostEntry("e1", e.addr, "in_service"))
	c := loginClient(tr, "client", s.clients)
	c.send(queryPacket(request("lookup", 1, patience, ",replay=op1,ram=512")))
	e.answer(e.next("want"), "OK", "-", "")
	c.result()
	tr.check("grants")
}

// Statements whose fields can't be used, and commands that are not known here.
func TestTranscriptOfInvalidRequests(t *testing.T) {
	tr := &transcript{t: t}
	s := start(tr, plain, silentLog(t), hostEntry("e1", "127.0.0.1:1", "terminating"))
	c := loginClient(tr, "client", s.clients)
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
		request("unknown", 1, waits, ""),
		request("lookup", 1, time.Hour, ""),
		request("load", 1, waits, ""),
		request("lookup", 1, 5*time.Millisecond, ""),
	} {
		c.send(queryPacket(text))
		c.result()
	}
	c.send(packetOf(0, "\x1d"))
	c.result()
	c.send(packetOf(0, comInitDB+"x"))
	c.result()
	c.send(packetOf(0, comPing)) // no engine can serve
	c.result()
	c.send(queryPacket(request("lookup", 1, 300*time.Millisecond, "")))
	c.result()
	tr.check("invalid")
}

// Messages that can't be read: each ends its connection after an answer.
func TestTranscriptOfMalformedMessages(t *testing.T) {
	tr := &transcript{t: t}
	s := start(tr, plain, silentLog(t), hostEntry("e1", "127.0.0.1:1", "terminating"))
	for _, c := range []struct{ name, login, then string }{
		{"wrong user", loginPacket("root", "main"), ""},
		{"wrong database", loginPacket("app", "x"), ""},
		{"password", packetOf(1, "\x08\x82\x00\x00"+strings.Repeat("\x00", 28)+"app\x00\x01pmain\x00"), ""},
		{"no login", packetOf(1, "hello"), ""},
		{"login out of sequence", packetOf(3, "hello"), ""},
		{"too large", loginPacket("app", "main"), string([]byte{0, 0, 255, 0}) + "\x03SELECT"},
		{"out of sequence", loginPacket("app", "main"), packetOf(9, comPing)},
		{"empty", loginPacket("app", ""), packetOf(0, "")},
	} {
		tr.line("# %s", c.name)
		client := dialClient(tr, "client", s.clients, c.login)
		client.packet()
		if c.then != "" {
			client.send(c.then)
			client.packet()
		}
		client.packet() // the end
	}
	s.cancel()
	s.finish(netconn.ClientSide)
	tr.check("malformed")
}

// A planned restart: requests go on coming for a while, what is open is answered, then connections end.
func TestTranscriptOfAShutdown(t *testing.T) {
	tr := &transcript{t: t}
	e := newScriptedEngine(tr, "engine")
	s := startPatient(tr, plain, silentLog(t), hostEntry("e1", e.addr, "in_service"))
	a, b := loginClient(tr, "client a", s.clients), loginClient(tr, "client b", s.clients)
	a.send(queryPacket(request("lookup", 1, patience, "")))
	first := e.next("want")
	tr.line("# stop")
	seconds := e.answerNextThen(answerTo(first, "OK", "-", ""))
	close(s.stop)
	b.send(queryPacket(request("lookup", 2, patience, "")))
	second := socktest.Receive(t, seconds, "want at engine")
	e.record(second, "want")
	e.recordAnswer(second, answerTo(second, "OK", "-", ""))
	b.result()
	e.recordAnswer(first, answerTo(first, "OK", "-", ""))
	a.result()
	a.packet()
	b.packet()
	s.finish(netconn.ClientSide, netconn.EngineSide)
	tr.check("shutdown")
}

// receiveKinds receives until messages of all kinds given have come on one connection, and returns them by
// kind. Load probes are answered. never_mind and there are due at once, and either may come first. A retry
// follows on another connection if the answer to there is overdue.
func receiveKinds(e *scriptedEngine, kinds []string) map[string]message {
	e.tr.t.Helper()
	byConn := map[net.Conn]map[string]message{}
	for {
		m := socktest.Receive(e.tr.t, e.messages, strings.Join(kinds, ", "))
		if m.parts[0] == "busy" {
			_, _ = m.conn.Write(answerTo(m, "UP", "-", "")) // the probe may have timed out and its connection ended
			continue
		}
		if !slices.Contains(kinds, m.parts[0]) {
			e.tr.t.Fatalf("%s got %q, want %q", e.name, m.parts, kinds)
		}
		if byConn[m.conn] == nil {
			byConn[m.conn] = map[string]message{}
		}
		byConn[m.conn][m.parts[0]] = m
		if len(byConn[m.conn]) == len(kinds) {
			return byConn[m.conn]
		}
	}
}

// An engine whose answer is missing is asked whether it is alive. Load probes may come at any time and are
// passed over; their bytes are in TestEngineCommandsMatchGoldenFile.
func TestTranscriptOfALivenessCheck(t *testing.T) {
	tr := &transcript{t: t}
	e := newScriptedEngine(tr, "engine")
	s := start(tr, features{probing: true, classes: classes}, silentLog(t),
		hostEntry("e1", e.addr, "in_service"))
	c := loginClient(tr, "client", s.clients)
	c.send(queryPacket(request("load", 1, waits, ",replay=op1")))
	kinds := []string{"want", "never_mind", "there"}
	commands := receiveKinds(e, kinds)
	for _, kind := range kinds {
		tr.line("engine < %q", commands[kind].masked())
	}
	tr.check("liveness")
}
