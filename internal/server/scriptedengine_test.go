package server_test

import (
	"net"
	"regexp"
	"slices"

	"wheatlane/internal/resp"
	"wheatlane/internal/socktest"
)

// message is what an engine received.
type message struct {
	conn  net.Conn
	parts []string
}

var patienceField = regexp.MustCompile(`\$\d+\r\nsort=(\w+),patience=\d+`)

// masked is the message as it came, but for the time that is left in it.
func (m message) masked() string {
	return patienceField.ReplaceAllString(string(resp.Append(nil, m.parts...)), "$$#\r\nsort=$1,patience=#")
}

// scriptedEngine records what the broker sends to an engine and answers as the script says.
type scriptedEngine struct {
	tr       *transcript
	name     string
	addr     string
	messages chan message
	conns    []net.Conn // in the order of their first messages
}

func newScriptedEngine(tr *transcript, name string) *scriptedEngine {
	tr.t.Helper()
	ln := listen(tr.t)
	e := &scriptedEngine{tr: tr, name: name, addr: ln.Addr().String(), messages: make(chan message, 1000)}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go e.readAll(nc)
		}
	}()
	return e
}

func (e *scriptedEngine) readAll(nc net.Conn) {
	defer func() { _ = nc.Close() }() // the broker may have closed it first
	var pending []byte
	buf := make([]byte, 4096)
	for {
		n, err := nc.Read(buf)
		if err != nil {
			return
		}
		pending = append(pending, buf[:n]...)
		for {
			parts, size, err := resp.Parse(pending)
			if err != nil || size == 0 {
				break
			}
			m := message{conn: nc}
			for _, p := range parts {
				m.parts = append(m.parts, string(p))
			}
			if encoded := resp.Append(nil, m.parts...); string(encoded) != string(pending[:size]) {
				m.parts = []string{"unusual encoding", string(pending[:size])}
			}
			e.messages <- m
			pending = pending[size:]
		}
	}
}

// receive records the receive message that comes, which is to be of a kind.
func (e *scriptedEngine) receive(kind string) message {
	e.tr.t.Helper()
	m := socktest.Receive(e.tr.t, e.messages, kind+" at "+e.name)
	e.record(m, kind)
	return m
}

// record records a message, which is to be of a kind.
func (e *scriptedEngine) record(m message, kind string) {
	e.tr.t.Helper()
	if m.parts[0] != kind {
		e.tr.t.Fatalf("%s got %q, want %s", e.name, m.parts, kind)
	}
	e.tr.line("%s connection %d < %q", e.name, e.number(m.conn), m.masked())
}

// number is that of a connection, by the order of first messages.
func (e *scriptedEngine) number(conn net.Conn) int {
	if i := slices.Index(e.conns, conn); i >= 0 {
		return i + 1
	}
	e.conns = append(e.conns, conn)
	return len(e.conns)
}

// answerTo is an answer to a message, as it is sent.
func answerTo(m message, parts ...string) []byte {
	return resp.Append(nil, append([]string{m.parts[1]}, parts...)...)
}

// answer sends an answer on the connection that a message came on.
func (e *scriptedEngine) answer(m message, parts ...string) {
	e.tr.t.Helper()
	e.answerAtOnce(m, answerTo(m, parts...))
}

// answerAtOnce sends answers with one write, so that they arrive together.
func (e *scriptedEngine) answerAtOnce(m message, answers ...[]byte) {
	e.tr.t.Helper()
	for _, raw := range answers {
		e.recordAnswer(m, raw)
	}
	if _, err := m.conn.Write(slices.Concat(answers...)); err != nil {
		e.tr.t.Fatal(err)
	}
}

// answerNextThen answers the next message with OK as soon as it comes, sends an answer to an earlier message
// of its connection behind that, and passes the message on.
func (e *scriptedEngine) answerNextThen(earlier []byte) <-chan message {
	answered := make(chan message, 1)
	go func() {
		m := <-e.messages
		_, _ = m.conn.Write(append(answerTo(m, "OK", "-", ""), earlier...)) // the client misses it otherwise
		answered <- m
	}()
	return answered
}

func (e *scriptedEngine) recordAnswer(m message, raw []byte) {
	e.tr.line("%s connection %d > %q", e.name, e.number(m.conn), raw)
}
