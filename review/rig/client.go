package rig

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// Client is one session of a client.
type Client struct {
	net.Conn
	ConnID uint32
	r      *bufio.Reader
}

// Answer is what a broker answered to one command.
type Answer struct {
	Code int // 0: served or OK; else the error's number
	Text string
	Rows []string // rows of a result, columns separated by tabs
}

// Kind names the answer as the protocol page does.
func (a Answer) Kind() string {
	switch a.Code {
	case -1:
		return "no whole answer"
	case 0:
		return "served"
	case 1040, 1203, 1226:
		return "refused"
	}
	return "failed"
}

func (a Answer) String() string {
	if a.Code <= 0 {
		return fmt.Sprintf("%s (%d rows)", a.Kind(), len(a.Rows))
	}
	return fmt.Sprintf("%s (%d %s)", a.Kind(), a.Code, a.Text)
}

func packet(seq byte, payload []byte) []byte {
	n := len(payload)
	return append([]byte{byte(n), byte(n >> 8), byte(n >> 16), seq}, payload...)
}

// Query returns the bytes of a COM_QUERY.
func Query(text string) []byte { return packet(0, append([]byte{3}, text...)) }

// Ping returns the bytes of a COM_PING.
func Ping() []byte { return packet(0, []byte{14}) }

func login() []byte {
	const flags = 1 | 1<<3 | 1<<9 | 1<<13 | 1<<15 | 1<<19
	p := binary.LittleEndian.AppendUint32(nil, flags)
	p = binary.LittleEndian.AppendUint32(p, 1<<24-1)
	p = append(p, 45)
	p = append(p, make([]byte, 23)...)
	p = append(p, "app\x00"...)
	p = append(p, 0)
	p = append(p, "main\x00"...)
	p = append(p, "mysql_native_password\x00"...)
	return packet(1, p)
}

// Dial opens a session and logs in.
func Dial(addr string, timeout time.Duration) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	c := &Client{Conn: conn, r: bufio.NewReaderSize(conn, 64<<10)}
	_ = conn.SetDeadline(time.Now().Add(timeout))
	greeting, err := c.packet()
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("greeting: %w", err)
	}
	if len(greeting) == 0 || greeting[0] == 0xff {
		conn.Close()
		return nil, fmt.Errorf("greeting: %v", parseError(greeting))
	}
	end := 1
	for end < len(greeting) && greeting[end] != 0 {
		end++
	}
	if len(greeting) < end+5 {
		conn.Close()
		return nil, errors.New("greeting: short")
	}
	c.ConnID = binary.LittleEndian.Uint32(greeting[end+1:])
	if _, err := conn.Write(login()); err != nil {
		conn.Close()
		return nil, err
	}
	ok, err := c.packet()
	if err != nil || len(ok) == 0 || ok[0] != 0 {
		conn.Close()
		return nil, fmt.Errorf("login: %v %v", err, parseError(ok))
	}
	_ = conn.SetDeadline(time.Time{})
	return c, nil
}

func (c *Client) packet() ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(c.r, head[:]); err != nil {
		return nil, err
	}
	payload := make([]byte, int(head[0])|int(head[1])<<8|int(head[2])<<16)
	_, err := io.ReadFull(c.r, payload)
	return payload, err
}

func parseError(p []byte) Answer {
	if len(p) < 9 || p[0] != 0xff {
		return Answer{Code: -1, Text: fmt.Sprintf("%q", p)}
	}
	return Answer{Code: int(binary.LittleEndian.Uint16(p[1:])), Text: string(p[9:])}
}

// Read reads one whole answer.
func (c *Client) Read(deadline time.Time) (Answer, error) {
	_ = c.SetReadDeadline(deadline)
	first, err := c.packet()
	if err != nil {
		return Answer{Code: -1}, err
	}
	switch {
	case len(first) == 0:
		return Answer{Code: -1}, errors.New("empty packet")
	case first[0] == 0xff:
		return parseError(first), nil
	case first[0] == 0:
		return Answer{}, nil
	}
	var rows []string
	for range 2 { // column definitions, then rows; each part ends with EOF
		rows = nil
		for {
			p, err := c.packet()
			if err != nil {
				return Answer{Code: -1}, err
			}
			if len(p) > 0 && p[0] == 0xff {
				return parseError(p), nil
			}
			if len(p) < 9 && len(p) > 0 && p[0] == 0xfe {
				break
			}
			rows = append(rows, row(p))
		}
	}
	return Answer{Rows: rows}, nil
}

func row(p []byte) string {
	var out []byte
	for i := 0; len(p) > 0; i++ {
		n, skip := int(p[0]), 1
		switch {
		case p[0] == 0xfc && len(p) > 2:
			n, skip = int(p[1])|int(p[2])<<8, 3
		case p[0] == 0xfd && len(p) > 3:
			n, skip = int(p[1])|int(p[2])<<8|int(p[3])<<16, 4
		}
		if len(p) < skip+n {
			return string(out) + "?"
		}
		if i > 0 {
			out = append(out, '\t')
		}
		out = append(out, p[skip:skip+n]...)
		p = p[skip+n:]
	}
	return string(out)
}
