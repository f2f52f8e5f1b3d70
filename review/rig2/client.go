package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// session is a client's connection that speaks the MySQL client protocol 4.1.
type session struct {
	conn net.Conn
	in   *bufio.Reader
	id   uint32 // connection id of the greeting
}

// outcome is the answer to one command.
type outcome struct {
	kind string // served, refused, failed, ok, or lost (no whole answer)
	text string
	rows [][]string
	at   time.Time
}

func (o outcome) String() string { return o.kind + " " + o.text }

const dialTimeout = 3 * time.Second

// connect opens a session and logs in.
func connect(addr string) (*session, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	s := &session{conn: conn, in: bufio.NewReader(conn)}
	if err := s.login(); err != nil {
		conn.Close()
		return nil, err
	}
	return s, nil
}

func (s *session) login() error {
	s.conn.SetDeadline(time.Now().Add(dialTimeout))
	defer s.conn.SetDeadline(time.Time{})
	greeting, err := s.packet()
	if err != nil {
		return err
	}
	if len(greeting) > 0 && greeting[0] == 0xff {
		return errors.New("refused: " + errorText(greeting))
	}
	version := strings.IndexByte(string(greeting[1:]), 0)
	s.id = binary.LittleEndian.Uint32(greeting[1+version+1:])
	if _, err := s.conn.Write(packet(1, loginPayload())); err != nil {
		return err
	}
	reply, err := s.packet()
	if err != nil {
		return err
	}
	if len(reply) == 0 || reply[0] != 0 {
		return errors.New("login: " + errorText(reply))
	}
	return nil
}

// loginPayload is the answer to a greeting: user app, empty password, database main.
func loginPayload() []byte {
	const flags = 1 | 1<<3 | 1<<9 | 1<<13 | 1<<15 // long password, database, protocol 4.1, transactions, secure connection
	p := binary.LittleEndian.AppendUint32(nil, flags)
	p = binary.LittleEndian.AppendUint32(p, 1<<24)
	p = append(p, 45)
	p = append(p, make([]byte, 23)...)
	p = append(p, "app\x00\x00main\x00"...)
	return p
}

func packet(seq byte, payload []byte) []byte {
	n := len(payload)
	return append([]byte{byte(n), byte(n >> 8), byte(n >> 16), seq}, payload...)
}

func query(text string) []byte { return packet(0, append([]byte{3}, text...)) }

func (s *session) packet() ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(s.in, head[:]); err != nil {
		return nil, err
	}
	body := make([]byte, int(head[0])|int(head[1])<<8|int(head[2])<<16)
	_, err := io.ReadFull(s.in, body)
	return body, err
}

func errorCode(p []byte) int {
	if len(p) < 3 {
		return 0
	}
	return int(binary.LittleEndian.Uint16(p[1:]))
}

func errorText(p []byte) string {
	if len(p) < 9 {
		return fmt.Sprintf("% x", p)
	}
	return fmt.Sprintf("%d %s", errorCode(p), p[9:])
}

// answer reads the answer to a query.
func (s *session) answer() outcome {
	first, err := s.packet()
	if err != nil {
		return outcome{kind: "lost", text: err.Error(), at: time.Now()}
	}
	switch {
	case len(first) > 0 && first[0] == 0xff:
		kind := "failed"
		if code := errorCode(first); code == 1040 || code == 1203 || code == 1226 {
			kind = "refused"
		}
		return outcome{kind: kind, text: errorText(first), at: time.Now()}
	case len(first) > 0 && first[0] == 0:
		return outcome{kind: "ok", at: time.Now()}
	}
	isEOF := func(p []byte) bool { return len(p) > 0 && p[0] == 0xfe && len(p) < 9 }
	var rows [][]string
	for ends := 0; ends < 2; {
		p, err := s.packet()
		if err != nil {
			return outcome{kind: "lost", text: "cut off: " + err.Error(), at: time.Now()}
		}
		if isEOF(p) {
			ends++
		} else if ends == 1 {
			if p[0] == 0xff {
				return outcome{kind: "failed", text: errorText(p), at: time.Now()}
			}
			rows = append(rows, columns(p))
		}
	}
	return outcome{kind: "served", rows: rows, at: time.Now()}
}

func columns(p []byte) (out []string) {
	for len(p) > 0 {
		n, skip := int(p[0]), 1
		if n == 0xfc {
			n, skip = int(p[1])|int(p[2])<<8, 3
		}
		out, p = append(out, string(p[skip:skip+n])), p[skip+n:]
	}
	return out
}

// ask sends a query and waits for its answer.
func (s *session) ask(text string, within time.Duration) outcome {
	if _, err := s.conn.Write(query(text)); err != nil {
		return outcome{kind: "lost", text: err.Error(), at: time.Now()}
	}
	s.conn.SetReadDeadline(time.Now().Add(within))
	defer s.conn.SetReadDeadline(time.Time{})
	return s.answer()
}

// ping sends COM_PING.
func (s *session) ping() outcome {
	if _, err := s.conn.Write(packet(0, []byte{14})); err != nil {
		return outcome{kind: "lost", text: err.Error(), at: time.Now()}
	}
	s.conn.SetReadDeadline(time.Now().Add(dialTimeout))
	defer s.conn.SetReadDeadline(time.Time{})
	return s.answer()
}

func (s *session) close() { s.conn.Close() }

var lastRef atomic.Uint64

// newRef returns a request id that was not used before.
func newRef() string {
	return fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()>>20), lastRef.Add(1))
}

// request is what the comment ahead of a statement holds.
type request struct {
	class, ref string
	allow      time.Duration
	tenant     string
	key        string // of the order; empty: none
	once       string // idempotency key; empty: none
	effortMS   float64
	ramMB      float64
	statement  string
	retry      bool // of the client
}

func (r request) text() string {
	f := fmt.Sprintf("service=%s,ref=%s,allow=%d,project=%s", r.class, r.ref, r.allow.Milliseconds(), r.tenant)
	if r.retry {
		f += ",dup=1"
	}
	if r.once != "" {
		f += ",replay=" + r.once
	}
	if r.effortMS > 0 {
		f += fmt.Sprintf(",effort=%.1f", r.effortMS)
	}
	if r.ramMB > 0 {
		f += fmt.Sprintf(",ram=%.0f", r.ramMB)
	}
	if r.key != "" {
		f += ",lookup=" + r.key
	}
	return "/* " + f + " */ " + r.statement
}
