package adminapi

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	// readTimeout bounds the wait for a caller's line. A silent caller delays no others, as each connection is
	// served by its own goroutine.
	readTimeout = 5 * time.Second
	// executeTimeout bounds the execution of a call; the deployment page promises a reply within 1 s.
	executeTimeout = 800 * time.Millisecond
	// writeTimeout bounds the write of a reply.
	writeTimeout = time.Second
	// lingerTimeout and lingerBytes bound the reads after a reply, whose data is discarded, before the close.
	lingerTimeout = 250 * time.Millisecond
	lingerBytes   = 64 << 10
	// acceptRetryDelay is the pause after a failed accept.
	acceptRetryDelay = 50 * time.Millisecond
)

// Broker executes calls. Each method returns by the end of ctx, and is safe for concurrent use.
type Broker interface {
	// Ready reports whether the process is ready to serve.
	Ready(ctx context.Context) (bool, error)
	// Vars appends the metrics to buf, one per line in the text exposition format.
	Vars(ctx context.Context, buf []byte) ([]byte, error)
	// StartMaintenance puts an engine into maintenance mode. It returns ErrNotListed for an engine that was never in
	// the endpoint list.
	StartMaintenance(ctx context.Context, id string) error
	// EndMaintenance ends the maintenance mode of an engine. It returns ErrNotListed for an engine that was never in
	// the endpoint list.
	EndMaintenance(ctx context.Context, id string) error
}

// endReason is the reason code in the log line of an ended connection, in addition to those of internal/server.
type endReason string

const (
	endAnswered           endReason = "answered"             // a reply was written
	endPeerClosed         endReason = "peer_closed"          // the caller closed before a complete line
	endReadTimeout        endReason = "read_timeout"         // no complete line within readTimeout
	endTooManyConnections endReason = "too_many_connections" // MaxConnections was reached
	endWriteFailed        endReason = "write_timeout"        // the reply could not be written
	endShutdown           endReason = "shutdown"             // the broker is stopping
)

// Server answers calls on the connections of a listener.
type Server struct {
	Broker         Broker
	Log            *zap.Logger
	MaxConnections int // served concurrently; further ones are closed immediately
}

// Serve accepts connections and answers calls until ctx ends, closes ln, and returns once all connections have
// ended.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() {
		_ = ln.Close() // ends a pending accept; an error can't be handled here
	})
	defer stop()
	group.Go(func() error {
		s.acceptConnections(ctx, ln, group)
		return nil
	})
	return group.Wait()
}

// acceptConnections serves each connection in its own goroutine of the group, until ctx ends or ln is closed.
func (s *Server) acceptConnections(ctx context.Context, ln net.Listener, group *errgroup.Group) {
	slots := make(chan struct{}, s.MaxConnections)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			s.Log.Warn("admin accept failed", zap.Error(err))
			select {
			case <-ctx.Done():
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		acceptedAt := time.Now()
		select {
		case slots <- struct{}{}:
			group.Go(func() error {
				defer func() { <-slots }()
				reason, err := s.serve(ctx, conn)
				s.logEnd(conn, acceptedAt, reason, err)
				return nil
			})
		default:
			_ = conn.Close() // no data is lost, as nothing was read or written
			s.logEnd(conn, acceptedAt, endTooManyConnections, nil)
		}
	}
}

// logEnd logs the end of a connection.
func (s *Server) logEnd(conn net.Conn, acceptedAt time.Time, reason endReason, err error) {
	fields := []zap.Field{
		zap.String("side", "operator"),
		zap.String("peer", conn.RemoteAddr().String()),
		zap.String("reason", string(reason)),
		zap.Duration("lasted", time.Since(acceptedAt)),
	}
	if err != nil {
		fields = append(fields, zap.Error(err))
	}
	s.Log.Info("connection ended", fields...)
}

// serve reads one call, answers it, and closes the connection.
func (s *Server) serve(ctx context.Context, conn net.Conn) (endReason, error) {
	defer func() {
		_ = conn.Close() // an error changes nothing: the reply was received or lost before
	}()
	stop := context.AfterFunc(ctx, func() {
		_ = conn.SetDeadline(time.Now()) // fails only on a closed connection, which nothing waits for
	})
	defer stop()
	line, err := readLine(ctx, conn)
	if readErr, ok := errors.AsType[*readError](err); ok {
		return readEndReason(ctx, readErr.err)
	}
	var call Call
	if err == nil {
		call, err = Parse(line)
	}
	if err != nil {
		return reply(conn, negativeReply(err), err)
	}
	ctx, cancel := context.WithTimeout(ctx, executeTimeout)
	defer cancel()
	return reply(conn, s.execute(ctx, call), nil)
}

// readError reports that a connection failed before a complete line was received.
type readError struct{ err error }

func (e *readError) Error() string { return fmt.Sprintf("read a call: %v", e.err) }

func (e *readError) Unwrap() error { return e.err }

// readLine reads the first line of a connection. Its error is a *readError or wraps ErrTooLong.
func readLine(ctx context.Context, conn net.Conn) ([]byte, error) {
	_ = conn.SetReadDeadline(time.Now().Add(readTimeout)) // on an error, the read fails too
	var received lineBuffer
	buf := make([]byte, MaxLineBytes)
	for {
		n, readErr := conn.Read(buf)
		line, complete, err := received.feed(buf[:n])
		if err != nil || complete {
			return line, err
		}
		if readErr == nil {
			readErr = ctx.Err()
		}
		if readErr != nil {
			return nil, &readError{readErr}
		}
	}
}

// readEndReason returns the reason why a connection ended before a complete line, and the error if it adds
// information to the reason.
func readEndReason(ctx context.Context, err error) (endReason, error) {
	select {
	case <-ctx.Done():
		return endShutdown, nil
	default:
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return endReadTimeout, nil
	case errors.Is(err, io.EOF):
		return endPeerClosed, nil
	}
	return endPeerClosed, err
}

// reply writes a reply and returns the reason and the error to log; cause is the error that the reply reports, or nil.
func reply(conn net.Conn, text []byte, cause error) (endReason, error) {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // on an error, the write fails too
	if _, err := conn.Write(text); err != nil {
		return endWriteFailed, err
	}
	// Closing a connection with unread data resets it, and the reset can discard the reply before the caller has
	// read it. So data after the line is read first. An error means that the caller has already closed.
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
		_ = tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, tcp, lingerBytes)
	}
	return endAnswered, cause
}

// execute executes a call and returns the reply.
func (s *Server) execute(ctx context.Context, call Call) []byte {
	var err error
	switch call.Verb {
	case VerbCheck:
		var ready bool
		if ready, err = s.Broker.Ready(ctx); err == nil && !ready {
			return []byte("NAK not_ready\n")
		}
	case VerbVars:
		text := []byte("ACK vars\n")
		if text, err = s.Broker.Vars(ctx, text); err == nil {
			return append(text, "--\n"...)
		}
	case VerbStartMaintenance:
		err = s.Broker.StartMaintenance(ctx, call.ID)
	case VerbEndMaintenance:
		err = s.Broker.EndMaintenance(ctx, call.ID)
	}
	if err != nil {
		return negativeReply(err)
	}
	return positiveReply(call)
}

// positiveReply returns the ACK that confirms an executed call.
func positiveReply(call Call) []byte {
	text := "ACK " + string(call.Verb)
	if call.ID != "" {
		text += " " + call.ID
	}
	return []byte(text + "\n")
}

// negativeReply returns the NAK with the reason code of an error, followed by its details if it has any.
func negativeReply(err error) []byte {
	reason := Reason(err)
	text := "NAK " + reason
	if detail, ok := strings.CutPrefix(err.Error(), reason+": "); ok {
		text += " " + detail
	}
	return []byte(text + "\n")
}
