package server_test

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"time"
)

// scriptedClient is a MySQL client that records its packets in a transcript.
type scriptedClient struct {
	tr      *transcript
	name    string
	conn    net.Conn
	in      *bufio.Reader
	session uint32
}

// dialClient connects and sends the login immediately, as the broker waits no longer than frontend's loginTimeout for
// it.
func dialClient(tr *transcript, name, addr, login string) *scriptedClient {
	tr.t.Helper()
	nc, err := (&net.Dialer{}).DialContext(tr.t.Context(), "tcp", addr)
	if err != nil {
		tr.t.Fatal(err)
	}
	tr.t.Cleanup(func() { _ = nc.Close() })
	if _, err := io.WriteString(nc, login); err != nil {
		tr.t.Fatal(err)
	}
	c := &scriptedClient{tr: tr, name: name, conn: nc, in: bufio.NewReader(nc)}
	greeting := c.packet()
	version := strings.IndexByte(greeting, 0)
	c.session = binary.LittleEndian.Uint32([]byte(greeting[version+1:]))
	c.recordSent(login)
	return c
}

// loginClient connects and logs in.
func loginClient(tr *transcript, name, addr string) *scriptedClient {
	tr.t.Helper()
	c := dialClient(tr, name, addr, loginPacket("app", "main"))
	c.packet()
	return c
}

func packetOf(seq byte, payload string) string {
	n := len(payload)
	return string([]byte{byte(n), byte(n >> 8), byte(n >> 16), seq}) + payload
}

func loginPacket(user, database string) string {
	return packetOf(1, "\x08\x82\x00\x00"+strings.Repeat("\x00", 28)+user+"\x00\x00"+database+"\x00")
}

func queryPacket(text string) string { return packetOf(0, "\x03"+text) }

func (c *scriptedClient) send(raw string) {
	c.tr.t.Helper()
	c.recordSent(raw)
	if _, err := io.WriteString(c.conn, raw); err != nil {
		c.tr.t.Fatal(err)
	}
}

func (c *scriptedClient) recordSent(raw string) { c.tr.line("%s > %s", c.name, shorten(raw)) }

func (c *scriptedClient) close() {
	c.tr.t.Helper()
	if err := c.conn.Close(); err != nil {
		c.tr.t.Fatal(err)
	}
}

// shorten quotes raw. Of long texts it quotes only the beginning and adds the number of further bytes.
func shorten(raw string) string {
	if len(raw) > 1000 {
		return fmt.Sprintf("%q and %d bytes more", raw[:20], len(raw)-20)
	}
	return fmt.Sprintf("%q", raw)
}

var cooldownField = regexp.MustCompile(`cooldown=\d+$`)

// packet reads and records one packet and returns its payload, or "" at the end of the connection.
func (c *scriptedClient) packet() string {
	c.tr.t.Helper()
	if err := c.conn.SetReadDeadline(time.Now().Add(stepTimeout)); err != nil {
		c.tr.t.Fatal(err)
	}
	head := make([]byte, 4)
	if _, err := io.ReadFull(c.in, head); err != nil {
		c.tr.line("%s < %v", c.name, err)
		return ""
	}
	payload := make([]byte, int(head[0])|int(head[1])<<8|int(head[2])<<16)
	if _, err := io.ReadFull(c.in, payload); err != nil {
		c.tr.t.Fatal(err)
	}
	length, shown := fmt.Sprint(len(payload)), string(payload)
	if len(payload) > 0 && payload[0] == 10 { // a greeting
		shown = maskSalt(shown)
	}
	if cooldownField.MatchString(shown) {
		length, shown = "#", cooldownField.ReplaceAllString(shown, "cooldown=#")
	}
	c.tr.line("%s < length %s, sequence %d, %q", c.name, length, head[3], shown)
	return string(payload)
}

// maskSalt masks both parts of the salt in a greeting.
func maskSalt(greeting string) string {
	masked := []byte(greeting)
	first := strings.IndexByte(greeting, 0) + 1 + 4
	second := first + 8 + 1 + 2 + 1 + 2 + 2 + 1 + 10
	for _, part := range [][]byte{masked[first : first+8], masked[second : second+12]} {
		for i := range part {
			part[i] = '#'
		}
	}
	return string(masked)
}

// result reads and records a reply: a single packet, or all packets of a result.
func (c *scriptedClient) result() {
	c.tr.t.Helper()
	first := c.packet()
	if first == "" || first[0] == 0 || first[0] == 0xff {
		return
	}
	for ends := 0; ends < 2; { // EOF packets after the columns and after the rows
		p := c.packet()
		if p == "" {
			return
		}
		if p[0] == 0xfe {
			ends++
		}
	}
}
