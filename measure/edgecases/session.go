package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"wheatlane/internal/emulator/conformance"
)

const (
	connectTimeout = 2 * time.Second

	packetHeaderBytes = 4
	errorPacket       = 0xff // the first byte of an error packet
	queryCommand      = "\x03"
)

// The error codes of requests that were rejected.
const (
	tooManyConnectionsCode = 1040
	userLimitCode          = 1203
	resourceLimitCode      = 1226
)

// session is a client's connection.
type session struct {
	conn         net.Conn
	r            *bufio.Reader
	connectionID uint32
}

// connect connects and sends login and a first statement at once. sending is called before they are written.
func connect(ctx context.Context, address, statement string, sending func(time.Time)) (*session, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(context.WithoutCancel(ctx), "tcp", address)
	if err != nil {
		return nil, err
	}
	s := &session{conn: conn, r: bufio.NewReader(conn)}
	sending(time.Now())
	login := packet(1, "\x08\x82\x00\x00"+strings.Repeat("\x00", 28)+"app\x00\x00main\x00")
	if _, err := conn.Write(append(login, query(statement)...)); err != nil {
		s.close()
		return nil, err
	}
	if err := s.readLogin(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// readLogin reads the greeting and the answer to the login. Where the greeting is an error packet, there is
// no second one.
func (s *session) readLogin() error {
	if err := s.conn.SetReadDeadline(time.Now().Add(connectTimeout)); err != nil {
		return err
	}
	greeting, err := s.readPacket()
	if err != nil {
		return err
	}
	if len(greeting) > 0 && greeting[0] != errorPacket {
		// The connection id is behind the server's version, which a zero byte ends.
		if _, rest, ok := bytes.Cut(greeting[1:], []byte{0}); ok && len(rest) >= 4 {
			s.connectionID = binary.LittleEndian.Uint32(rest)
			if _, err := s.readPacket(); err != nil {
				return err
			}
		}
	}
	return s.conn.SetReadDeadline(time.Time{})
}

// close closes the connection, which may be closed already.
func (s *session) close() { _ = s.conn.Close() }

// reset closes the connection with a TCP reset.
func (s *session) reset() {
	if tcp, ok := s.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the close that follows tells the broker in any case
	}
	s.close()
}

// waitForShutdown waits for the end of the connection and reports whether the broker has shut it in an
// orderly manner.
func (s *session) waitForShutdown() bool {
	_, err := s.r.ReadByte()
	return errors.Is(err, io.EOF)
}

// sendLast sends a statement on a connection that was shut, and reads until the connection is gone.
func (s *session) sendLast(statement string) {
	_, _ = s.conn.Write(query(statement)) // the broker may have closed it
	_, _ = io.Copy(io.Discard, s.r)
}

func packet(sequence byte, payload string) []byte {
	n := len(payload)
	return append([]byte{byte(n), byte(n >> 8), byte(n >> 16), sequence}, payload...)
}

func query(statement string) []byte { return packet(0, queryCommand+statement) }

// readPacketFor reads a packet within a time.
func (s *session) readPacketFor(patience time.Duration) ([]byte, error) {
	if err := s.conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
		return nil, err
	}
	return s.readPacket()
}

// readPacket reads the payload of the next packet.
func (s *session) readPacket() ([]byte, error) {
	var header [packetHeaderBytes]byte
	if _, err := io.ReadFull(s.r, header[:]); err != nil {
		return nil, err
	}
	payload := make([]byte, int(header[0])|int(header[1])<<8|int(header[2])<<16)
	_, err := io.ReadFull(s.r, payload)
	return payload, err
}

// outcomeOf classifies the first packet of an answer. Rows are not compared with those of the engines; that
// other clients do.
func outcomeOf(answer []byte) conformance.Outcome {
	if len(answer) < 3 || answer[0] != errorPacket {
		return conformance.Served
	}
	switch code := int(answer[1]) | int(answer[2])<<8; code {
	case tooManyConnectionsCode, userLimitCode, resourceLimitCode:
		return conformance.Rejected
	}
	return conformance.Failed
}
