package server

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"wheatlane/internal/mysql"
	"wheatlane/internal/socktest"
)

// Commands of the MySQL protocol.
const (
	mysqlQuit  = "\x01"
	mysqlQuery = "\x03"
	mysqlPing  = "\x0e"
)

// testClient is a MySQL client.
type testClient struct {
	t       *testing.T
	socket  net.Conn
	reader  *bufio.Reader
	session uint32 // session number from the greeting
}

func newTestClient(t *testing.T, socket net.Conn) *testClient {
	t.Helper()
	return &testClient{t: t, socket: socket, reader: bufio.NewReader(socket)}
}

// packetBytes returns a packet of the MySQL protocol.
func packetBytes(seq byte, payload string) []byte {
	n := len(payload)
	return append([]byte{byte(n), byte(n >> 8), byte(n >> 16), seq}, payload...)
}

// loginPacket returns the login of a user, which follows the greeting.
func loginPacket(user string) []byte {
	return packetBytes(1, "\x08\x82\x00\x00"+strings.Repeat("\x00", 28)+user+"\x00\x00main\x00")
}

// queryPacket returns the command that runs a statement.
func queryPacket(text string) []byte { return packetBytes(0, mysqlQuery+text) }

// statement returns the text of a request, whose id and idempotency key are derived from n.
func statement(class string, n int, timeout time.Duration, orderKey string) string {
	text := fmt.Sprintf("service=%s,ref=%016x,allow=%d,replay=op%d", class, n, timeout.Milliseconds(), n)
	if orderKey != "" {
		text += ",lookup=" + orderKey
	}
	return "/* " + text + " */ SELECT a FROM s_1.t"
}

// dial connects a client that sends nothing yet.
func (s *testServer) dial() *testClient {
	s.t.Helper()
	return newTestClient(s.t, socktest.Dial(s.t, s.addr))
}

// connect connects a client that sends its login and statements in one write.
func (s *testServer) connect(statements ...string) *testClient {
	s.t.Helper()
	c := s.dial()
	out := loginPacket("app")
	for _, text := range statements {
		out = append(out, queryPacket(text)...)
	}
	c.send(out)
	greeting := c.readPacket()
	_, rest, _ := strings.Cut(greeting[1:], "\x00")
	c.session = binary.LittleEndian.Uint32([]byte(rest))
	if ok := c.readPacket(); ok[0] != 0 {
		s.t.Fatalf("login: %q", ok)
	}
	return c
}

func (c *testClient) localAddr() string { return c.socket.LocalAddr().String() }

// send writes bytes. It ignores errors, as the broker may have closed the connection; the next read detects that.
func (c *testClient) send(data []byte) { _, _ = c.socket.Write(data) }

func (c *testClient) query(text string) { c.send(queryPacket(text)) }

func (c *testClient) close() { _ = c.socket.Close() } // the broker may have closed it

// reset closes the connection with a TCP reset.
func (c *testClient) reset() {
	c.t.Helper()
	if err := c.socket.(*net.TCPConn).SetLinger(0); err != nil {
		c.t.Fatal(err)
	}
	c.close()
}

// closeWrite shuts down the write side of the connection.
func (c *testClient) closeWrite() {
	c.t.Helper()
	if err := c.socket.(*net.TCPConn).CloseWrite(); err != nil {
		c.t.Fatal(err)
	}
}

// readPacket reads one packet and returns its payload, or "" at the end of the connection.
func (c *testClient) readPacket() string {
	c.t.Helper()
	if err := c.socket.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		c.t.Fatal(err)
	}
	head := make([]byte, mysql.HeaderLen)
	if _, err := io.ReadFull(c.reader, head); err != nil {
		if errors.Is(err, io.EOF) {
			return ""
		}
		c.t.Fatal(err)
	}
	payload := make([]byte, int(head[0])|int(head[1])<<8|int(head[2])<<16)
	if _, err := io.ReadFull(c.reader, payload); err != nil {
		c.t.Fatal(err)
	}
	return string(payload)
}

// discardAll reads until the broker closes or resets the connection.
func (c *testClient) discardAll() {
	c.t.Helper()
	if err := c.socket.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		c.t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, c.reader); err != nil && !errors.Is(err, syscall.ECONNRESET) {
		c.t.Fatal(err)
	}
}

// readReply reads a reply. It returns "ok", an error code, or "rows " and the values of a result; "closed" at the
// end of the connection.
func (c *testClient) readReply() string {
	c.t.Helper()
	switch p := c.readPacket(); {
	case p == "":
		return "closed"
	case p[0] == 0:
		return "ok"
	case p[0] == 0xff:
		return fmt.Sprint(int(p[1]) | int(p[2])<<8)
	}
	for range mysql.ColumnCount + 1 {
		c.readPacket()
	}
	var rows strings.Builder
	for {
		p := c.readPacket()
		switch {
		case p == "":
			c.t.Fatal("the connection ended within a result")
		case p[0] == 0xfe:
			return "rows " + rows.String()
		}
		for len(p) > 0 {
			n := int(p[0])
			rows.WriteString(p[1:1+n] + "|")
			p = p[1+n:]
		}
	}
}

func (c *testClient) expect(replies ...string) {
	c.t.Helper()
	for _, want := range replies {
		if got := c.readReply(); got != want {
			c.t.Fatalf("client received %s, want %s", got, want)
		}
	}
}

// ping sends a ping and expects its reply next, so no other reply can precede it.
func (c *testClient) ping() {
	c.t.Helper()
	c.send(packetBytes(0, mysqlPing))
	c.expect("ok")
}
