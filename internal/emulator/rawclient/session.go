// Package rawclient is a client of a broker that writes MySQL packets as a test wants them: several at once, in
// pieces, or none, and that ends its connections in every way. It does not retry.
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
	errorPacket       = 0xff // the first byte of an error packet
	eofPacket         = 0xfe // the first byte of an EOF packet
	maxEOFPacketBytes = 8    // a longer packet that begins so is a row
	queryCommand      = "\x03"
	columns           = 3
)

// The error codes of requests that were rejected.
const (
	tooManyConnectionsCode = 1040
	userLimitCode          = 1203
	resourceLimitCode      = 1226
)

// Session is a client's connection.
type Session struct {
	conn         net.Conn
	r            *bufio.Reader
	ConnectionID uint32 // of the greeting; 0 if there was none
}

// Connect connects and sends login and a first statement, if there is any, at once. sending is called before
// they are written.
func Connect(ctx context.Context, address, statement string, sending func(time.Time)) (*Session, error) {
	s, err := Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	sending(time.Now())
	out := loginPacket()
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

// Dial connects and sends nothing.
func Dial(ctx context.Context, address string) (*Session, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(context.WithoutCancel(ctx), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Session{conn: conn, r: bufio.NewReader(conn)}, nil
}

func loginPacket() []byte {
	return packet(1, "\x08\x82\x00\x00"+strings.Repeat("\x00", 28)+"app\x00\x00main\x00")
}

// ReadLogin reads the greeting and the answer to the login. Where the greeting is an error packet, there is
// no second one.
func (s *Session) ReadLogin() error {
	if err := s.conn.SetReadDeadline(time.Now().Add(connectTimeout)); err != nil {
		return err
	}
	greeting, err := s.ReadPacket()
	if err != nil {
		return err
	}
	if len(greeting) > 0 && greeting[0] != errorPacket {
		// The connection id is behind the server's version, which a zero byte ends.
		if _, rest, ok := bytes.Cut(greeting[1:], []byte{0}); ok && len(rest) >= 4 {
			s.ConnectionID = binary.LittleEndian.Uint32(rest)
			if _, err := s.ReadPacket(); err != nil {
				return err
			}
		}
	}
	return s.conn.SetReadDeadline(time.Time{})
}

// Write writes bytes.
func (s *Session) Write(data []byte) error {
	_, err := s.conn.Write(data)
	return err
}

// Close closes the connection, which may be closed already.
func (s *Session) Close() { _ = s.conn.Close() }

// Reset closes the connection with a TCP reset.
func (s *Session) Reset() {
	if tcp, ok := s.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the close that follows tells the broker in any case
	}
	s.Close()
}

// WaitForShutdown waits for the end of the connection and reports whether the broker has shut it in an
// orderly manner.
func (s *Session) WaitForShutdown() bool {
	_, err := s.r.ReadByte()
	return errors.Is(err, io.EOF)
}

// SendAfterShutdown sends a statement on a connection that was shut, and reads until the connection is gone.
func (s *Session) SendAfterShutdown(statement string) {
	_, _ = s.conn.Write(QueryPacket(statement)) // the broker may have closed it
	_, _ = io.Copy(io.Discard, s.r)
}

func packet(sequence byte, payload string) []byte {
	n := len(payload)
	return append([]byte{byte(n), byte(n >> 8), byte(n >> 16), sequence}, payload...)
}

// QueryPacket is the command for a statement.
func QueryPacket(statement string) []byte { return packet(0, queryCommand+statement) }

// ReadPacketFor reads a packet within a time.
func (s *Session) ReadPacketFor(patience time.Duration) ([]byte, error) {
	if err := s.conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
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

// Answer is the answer to a query.
type Answer struct {
	Rows      string // as engines write them
	ErrorCode int    // 0: a result
}

// Rejected reports whether the answer says that trying again is harmless.
func (a Answer) Rejected() bool {
	return a.ErrorCode == tooManyConnectionsCode || a.ErrorCode == userLimitCode || a.ErrorCode == resourceLimitCode
}

// ReadAnswer reads the complete answer to a query until a time.
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
	if len(first) == 0 || first[0] == 0 { // an OK has no rows
		return Answer{}, nil
	}
	for range columns + 1 { // the definitions of the columns, and their end
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

// appendRow appends a row of short texts as engines write it.
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

// ErrorCode is the code of an error packet; 0 for any other packet.
func ErrorCode(p []byte) int {
	if len(p) < 3 || p[0] != errorPacket {
		return 0
	}
	return int(p[1]) | int(p[2])<<8
}

// IdleOutcome is what a connection did while its client waited for nothing.
type IdleOutcome int

// The kinds of rest.
const (
	StayedOpen IdleOutcome = iota
	ConnectionEnded        // by the broker
	UnexpectedData       // that nothing had asked for
)

// WatchIdle waits for a time, or until the broker ends the connection or sends something.
func (s *Session) WatchIdle(within time.Duration) IdleOutcome {
	if err := s.conn.SetReadDeadline(time.Now().Add(within)); err != nil {
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
