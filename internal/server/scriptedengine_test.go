package server_test

import (
	"net"
	"regexp"
	"slices"

	"wheatlane/internal/resp"
	"wheatlane/internal/socktest"
)

// message is a message that an engine received.
type message struct {
	conn  net.Conn
	parts []string
}

var patienceField = regexp.MustCompile(`\$\d+\r\nsort=(\w+),patience=\d+`)

// masked returns the message's encoding with the remaining time masked.
func (m message) masked() string {
	return patienceField.ReplaceAllString(string(resp.Append(nil, m.parts...)), "$$#\r\nsort=$1,patience=#")
}

// scriptedEngine is an engine that records the broker's messages and its own responses, which the test sends.
type scriptedEngine struct {
	tr       *transcript
	name     string
	addr     string
	messages chan message
	conns    []net.Conn // ordered by their first message
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

// receive records and returns the next message, which must have the given command.
func (e *scriptedEngine) receive(command string) message {
	e.tr.t.Helper()
	m := socktest.Receive(e.tr.t, e.messages, command+" at "+e.name)
	e.record(m, command)
	return m
}

// record records a message, which must have the given command.
func (e *scriptedEngine) record(m message, command string) {
	e.tr.t.Helper()
	if m.parts[0] != command {
		e.tr.t.Fatalf("%s received %q, want command %s", e.name, m.parts, command)
	}
	e.tr.line("%s connection %d < %q", e.name, e.number(m.conn), m.masked())
}

// number returns the number of a connection, from 1, in the order of first messages.
func (e *scriptedEngine) number(conn net.Conn) int {
	if i := slices.Index(e.conns, conn); i >= 0 {
		return i + 1
	}
	e.conns = append(e.conns, conn)
	return len(e.conns)
}

// responseTo returns the encoding of a response to a message.
func responseTo(m message, parts ...string) []byte {
	return resp.Append(nil, append([]string{m.parts[1]}, parts...)...)
}

// respond sends a response on the connection of the message.
func (e *scriptedEngine) respond(m message, parts ...string) {
	e.tr.t.Helper()
	e.respondTogether(m, responseTo(m, parts...))
}

// respondTogether sends responses in one write, so that they arrive together.
func (e *scriptedEngine) respondTogether(m message, responses ...[]byte) {
	e.tr.t.Helper()
	for _, raw := range responses {
		e.recordResponse(m, raw)
	}
	if _, err := m.conn.Write(slices.Concat(responses...)); err != nil {
		e.tr.t.Fatal(err)
	}
}

// respondToNextThen responds to the next message with OK as soon as it is received, followed by the response to an
// earlier message of the connection in the same write. The returned channel receives the message.
func (e *scriptedEngine) respondToNextThen(earlier []byte) <-chan message {
	received := make(chan message, 1)
	go func() {
		m := <-e.messages
		// If this fails, the client's read fails, too.
		_, _ = m.conn.Write(append(responseTo(m, "OK", "sheets=1", ""), earlier...))
		received <- m
	}()
	return received
}

func (e *scriptedEngine) recordResponse(m message, raw []byte) {
	e.tr.line("%s connection %d > %q", e.name, e.number(m.conn), raw)
}
