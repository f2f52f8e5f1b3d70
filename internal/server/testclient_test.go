package server

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"wheatlane/internal/mysql"
)

// testClient plays a MySQL client.
type testClient struct {
	t       *testing.T
	socket  net.Conn
	reader  *bufio.Reader
	session uint32
}

func newTestClient(t *testing.T, nc net.Conn) *testClient {
	return &testClient{t: t, socket: nc, reader: bufio.NewReader(nc)}
}

func packetBytes(seq byte, payload string) []byte {
	n := len(payload)
	return append([]byte{byte(n), byte(n >> 8), byte(n >> 16), seq}, payload...)
}

func loginPacket(user string) []byte {
	return packetBytes(1, "\x08\x82\x00\x00"+strings.Repeat("\x00", 28)+user+"\x00\x00main\x00")
}

// connect connects and, in the same write, logs in and asks a first thing.
func (s *testServer) connect(first ...string) *testClient {
	s.t.Helper()
	nc, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { nc.Close() })
	c := newTestClient(s.t, nc)
	out := loginPacket("app")
	for _, text := range first {
		out = append(out, packetBytes(0, "\x03"+text)...)
	}
	if _, err := nc.Write(out); err != nil {
		s.t.Fatal(err)
	}
	greeting := c.readPacket()
	_, rest, _ := strings.Cut(greeting[1:], "\x00")
	c.session = binary.LittleEndian.Uint32([]byte(rest))
	if ok := c.readPacket(); ok[0] != 0 {
		s.t.Fatalf("login: %q", ok)
	}
	return c
}

// readPacket reads one packet; empty at the end of the connection.
func (c *testClient) readPacket() string {
	c.t.Helper()
	c.socket.SetReadDeadline(time.Now().Add(testTimeout))
	head := make([]byte, 4)
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

func (c *testClient) query(text string) { c.socket.Write(packetBytes(0, "\x03"+text)) }

// readAnswer reads the answer: "ok", the code of an error, or the rows of a result.
func (c *testClient) readAnswer() string {
	c.t.Helper()
	switch p := c.readPacket(); {
	case p == "":
		return "closed"
	case p[0] == 0:
		return "ok"
	case p[0] == 0xff:
		return fmt.Sprint(int(p[1]) | int(p[2])<<8)
	}
	for range mysql.Columns + 1 {
		c.readPacket()
	}
	var rows strings.Builder
	for p := c.readPacket(); p[0] != 0xfe; p = c.readPacket() {
		for len(p) > 0 {
			n := int(p[0])
			rows.WriteString(p[1:1+n] + "|")
			p = p[1+n:]
		}
	}
	return "rows " + rows.String()
}

func (c *testClient) expect(answer string) {
	c.t.Helper()
	if got := c.readAnswer(); got != answer {
		c.t.Fatalf("client got %s, want %s", got, answer)
	}
}

// statement words a request; its id is made of a number.
func statement(class string, n int, allow time.Duration, key string) string {
	text := fmt.Sprintf("service=%s,ref=%016x,allow=%d,replay=op%d", class, n, allow.Milliseconds(), n)
	if key != "" {
		text += ",lookup=" + key
	}
	return "/* " + text + " */ SELECT a FROM s_1.t"
}

const longTimeout = 15 * time.Second
