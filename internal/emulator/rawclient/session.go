// Package rawclient implements a broker's client with full control of its MySQL packets: it can send several packets
// at once, fragmented packets or none, and end its connections in every way. It does not retry.
package rawclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"time"
)

const (
	connectTimeout = 2 * time.Second

	packetHeaderBytes = 4
	errorPacket       = 0xff // first byte of an error packet
	eofPacket         = 0xfe // first byte of an EOF packet
	maxEOFPacketBytes = 8    // a longer packet with this first byte is a row
	queryCommand      = "\x03"
	columnCount       = 3 // columns of a result
)

// Error codes of rejected requests.
const (
	tooManyConnectionsCode = 1040
	userLimitCode          = 1203
	resourceLimitCode      = 1226
)

// Session is a client's connection. It is not safe for concurrent use.
type Session struct {
	conn         net.Conn
	r            *bufio.Reader
	ConnectionID uint32 // from the greeting; 0 if there was none
}

// Connect opens a connection and sends the login and a first statement, unless that is empty, in one write. It calls
// sending before the write.
func Connect(ctx context.Context, address, statement string, sending func(time.Time)) (*Session, error) {
	s, err := Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	sending(time.Now())
	out := LoginPacket()
	if statement != "" {
		out = append(out, QueryPacket(statement)...)
	}
	if _, err := s.conn.Write(out); err != nil {
		s.Close()
		return nil, err
	}
	if err := s.ReadLogin(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Dial opens a connection and sends nothing.
func Dial(ctx context.Context, address string) (*Session, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(context.WithoutCancel(ctx), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Session{conn: conn, r: bufio.NewReader(conn)}, nil
}

// LoginPacket returns the response to the greeting that logs a client in.
func LoginPacket() []byte {
	return packet(1, "\x08\x82\x00\x00"+strings.Repeat("\x00", 28)+"app\x00\x00main\x00")
}

// ReadLogin reads the greeting and the response to the login. No response follows a greeting that is an error packet.
func (s *Session) ReadLogin() error {
	if err := s.conn.SetReadDeadline(time.Now().Add(connectTimeout)); err != nil {
		return err
	}
	greeting, err := s.ReadPacket()
	if err != nil {
		return err
	}
	if len(greeting) > 0 && greeting[0] != errorPacket {
		// The connection id follows the server's version, which is terminated by a zero byte.
		if _, fields, ok := bytes.Cut(greeting[1:], []byte{0}); ok && len(fields) >= 4 {
			s.ConnectionID = binary.LittleEndian.Uint32(fields)
			if _, err := s.ReadPacket(); err != nil {
				return err
			}
		}
	}
	return s.conn.SetReadDeadline(time.Time{})
}

// SetReadBuffer sets the size of the kernel's receive buffer.
func (s *Session) SetReadBuffer(bytes int) error {
	if tcp, ok := s.conn.(*net.TCPConn); ok {
		return tcp.SetReadBuffer(bytes)
	}
	return nil
}

// Write writes bytes.
func (s *Session) Write(data []byte) error {
	_, err := s.conn.Write(data)
	return err
}

// Close closes the connection. It may be called more than once.
func (s *Session) Close() { _ = s.conn.Close() }

// Reset closes the connection with a TCP reset.
func (s *Session) Reset() {
	if tcp, ok := s.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on an error, the broker still sees an orderly close
	}
	s.Close()
}

// WaitForShutdown waits until the connection ends and reports whether the broker shut it down in an orderly way.
func (s *Session) WaitForShutdown() bool {
	_, err := s.r.ReadByte()
	return errors.Is(err, io.EOF)
}

// SendAfterShutdown sends a statement on a connection that the broker has shut down, and reads until it ends.
func (s *Session) SendAfterShutdown(statement string) {
	_, _ = s.conn.Write(QueryPacket(statement)) // fails if the broker has closed the connection
	_, _ = io.Copy(io.Discard, s.r)
}

func packet(sequence byte, payload string) []byte {
	n := len(payload)
	return append([]byte{byte(n), byte(n >> 8), byte(n >> 16), sequence}, payload...)
}

// CommandPacket returns the packet of a command, which begins with the command's byte.
func CommandPacket(command string) []byte { return packet(0, command) }

// QueryPacket returns the packet of a query command.
func QueryPacket(statement string) []byte { return packet(0, queryCommand+statement) }

// ReadPacketFor reads the payload of the next packet, with a timeout.
func (s *Session) ReadPacketFor(timeout time.Duration) ([]byte, error) {
	if err := s.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	return s.ReadPacket()
}

// ReadPacket reads the payload of the next packet.
func (s *Session) ReadPacket() ([]byte, error) {
	var header [packetHeaderBytes]byte
	if _, err := io.ReadFull(s.r, header[:]); err != nil {
		return nil, err
	}
	payload := make([]byte, int(header[0])|int(header[1])<<8|int(header[2])<<16)
	_, err := io.ReadFull(s.r, payload)
	return payload, err
}

// Answer is the broker's answer to a query.
type Answer struct {
	Rows      string // rows in the engines' format: tabs between values, a line each
	ErrorCode int    // 0 for a result
}

// Rejected reports whether the error code is one after which the request may safely be retried.
func (a Answer) Rejected() bool {
	return a.ErrorCode == tooManyConnectionsCode || a.ErrorCode == userLimitCode || a.ErrorCode == resourceLimitCode
}

// ReadAnswer reads the complete answer to a query, up to a deadline.
func (s *Session) ReadAnswer(deadline time.Time) (Answer, error) {
	if err := s.conn.SetReadDeadline(deadline); err != nil {
		return Answer{}, err
	}
	first, err := s.ReadPacket()
	if err != nil {
		return Answer{}, err
	}
	if code := ErrorCode(first); code != 0 {
		return Answer{ErrorCode: code}, nil
	}
	if len(first) == 0 || first[0] == 0 { // an OK packet has no rows
		return Answer{}, nil
	}
	for range columnCount + 1 { // the column definitions and their EOF packet
		if _, err := s.ReadPacket(); err != nil {
			return Answer{}, err
		}
	}
	return s.readRows()
}

func (s *Session) readRows() (Answer, error) {
	var rows strings.Builder
	for {
		p, err := s.ReadPacket()
		switch {
		case err != nil:
			return Answer{}, err
		case len(p) > 0 && p[0] == eofPacket && len(p) < maxEOFPacketBytes:
			return Answer{Rows: rows.String()}, nil
		}
		appendRow(&rows, p)
	}
}

// appendRow appends a row in the engines' format. Each value must be shorter than 251 bytes, so that its length takes
// one byte.
func appendRow(to *strings.Builder, p []byte) {
	for column := 0; len(p) > 0; column++ {
		n := int(p[0])
		if column > 0 {
			to.WriteByte('\t')
		}
		n = min(n, len(p)-1)
		to.Write(p[1 : 1+n])
		p = p[1+n:]
	}
	to.WriteByte('\n')
}

// ErrorCode returns the code of an error packet, 0 for any other packet.
func ErrorCode(p []byte) int {
	if len(p) < 3 || p[0] != errorPacket {
		return 0
	}
	return int(p[1]) | int(p[2])<<8
}

// IdleOutcome is the result of watching an idle connection.
type IdleOutcome int

// The outcomes of watching an idle connection.
const (
	StayedOpen      IdleOutcome = iota
	ConnectionEnded             // by the broker
	UnexpectedData              // bytes that belong to no request
)

// WatchIdle waits for a duration, or until the broker ends the connection or sends a byte.
func (s *Session) WatchIdle(d time.Duration) IdleOutcome {
	if err := s.conn.SetReadDeadline(time.Now().Add(d)); err != nil {
		return ConnectionEnded
	}
	switch _, err := s.r.ReadByte(); {
	case err == nil:
		return UnexpectedData
	case errors.Is(err, os.ErrDeadlineExceeded):
		return StayedOpen
	}
	return ConnectionEnded
}
