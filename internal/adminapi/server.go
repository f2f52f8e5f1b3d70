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
	// readTimeout is how long a caller has for its line. One that sends nothing delays nobody else: each caller
	// has a goroutine of its own.
	readTimeout = 5 * time.Second
	// answerTimeout is how long the broker has to carry out a call; the deployment page owes a reply within 1
	// s.
	answerTimeout = 800 * time.Millisecond
	// writeTimeout bounds the write of a reply.
	writeTimeout = time.Second
	// lingerTimeout and lingerBytes bound what is read and dropped after a reply, before the close.
	lingerTimeout = 250 * time.Millisecond
	lingerBytes   = 64 << 10
	// acceptPause is how long the listener rests after a failed accept.
	acceptPause = 50 * time.Millisecond
)

// Broker carries out the calls. Each method is bounded by ctx.
type Broker interface {
	// Ready reports whether the process is ready to serve.
	Ready(ctx context.Context) (bool, error)
	// Vars appends the figures, one a line in the text exposition format.
	Vars(ctx context.Context, to []byte) ([]byte, error)
	// StartMaintenance puts an engine into maintenance mode; ErrNotListed for an id never listed.
	StartMaintenance(ctx context.Context, id string) error
	// EndMaintenance ends an engine's maintenance mode; ErrNotListed for an id never listed.
	EndMaintenance(ctx context.Context, id string) error
}

// endReason is the reason code in the log line of a connection that ended, beside those of internal/server.
type endReason string

const (
	endAnswered       endReason = "answered"             // a reply was written
	endPeerClosed     endReason = "peer_closed"          // the caller closed before a complete line
	endReadTimeout    endReason = "read_timeout"         // no complete line in time
	endTooManyCallers endReason = "too_many_connections" // MaxConnections were served already
	endWriteFailed    endReason = "write_timeout"        // the reply could not be written
	endShutdown       endReason = "shutdown"             // the broker stops
)

// Server answers calls at a listener.
type Server struct {
	Broker         Broker
	Log            *zap.Logger
	MaxConnections int // served at once; one more is closed at once
}

// Serve answers until ctx ends; it closes ln then.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() {
		_ = ln.Close() // it ends the accept that waits; there is nothing to do about its error
	})
	defer stop()
	group.Go(func() error {
		s.acceptCallers(ctx, ln, group)
		return nil
	})
	return group.Wait()
}

// acceptCallers serves each caller in a goroutine of the group, until ctx ends or the listener is closed.
func (s *Server) acceptCallers(ctx context.Context, ln net.Listener, group *errgroup.Group) {
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
			case <-time.After(acceptPause):
			}
			continue
		}
		accepted := time.Now()
		select {
		case slots <- struct{}{}:
			group.Go(func() error {
				defer func() { <-slots }()
				reason, err := s.serve(ctx, conn)
				s.logEnd(conn, accepted, reason, err)
				return nil
			})
		default:
			_ = conn.Close() // nothing was read or written: there is nothing to lose
			s.logEnd(conn, accepted, endTooManyCallers, nil)
		}
	}
}

func (s *Server) logEnd(conn net.Conn, accepted time.Time, reason endReason, err error) {
	fields := []zap.Field{
		zap.String("side", "operator"),
		zap.String("peer", conn.RemoteAddr().String()),
		zap.String("reason", string(reason)),
		zap.Duration("lasted", time.Since(accepted)),
	}
	if err != nil {
		fields = append(fields, zap.Error(err))
	}
	s.Log.Info("connection ended", fields...)
}

// serve reads one call and answers it.
func (s *Server) serve(ctx context.Context, conn net.Conn) (endReason, error) {
	defer func() {
		_ = conn.Close() // the reply was read or lost by now
	}()
	stop := context.AfterFunc(ctx, func() {
		_ = conn.SetDeadline(time.Now()) // of a closed connection: nothing waits for it
	})
	defer stop()
	line, err := readLine(ctx, conn)
	if readErr, ok := errors.AsType[*readError](err); ok {
		return endOfRead(ctx, readErr.err)
	}
	var call Call
	if err == nil {
		call, err = Parse(line)
	}
	if err != nil {
		return reply(conn, negativeReply(err), err)
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	return reply(conn, s.answer(ctx, call), nil)
}

// readError is a failure of a connection before a complete line.
type readError struct{ err error }

func (e *readError) Error() string { return fmt.Sprintf("read a call: %v", e.err) }

func (e *readError) Unwrap() error { return e.err }

// readLine reads the first line of a connection. Its error is a *readError or ErrTooLong.
func readLine(ctx context.Context, conn net.Conn) ([]byte, error) {
	_ = conn.SetReadDeadline(time.Now().Add(readTimeout)) // of a closed connection: the read fails
	var gathered lineBuffer
	buf := make([]byte, MaxLineBytes)
	for {
		n, readErr := conn.Read(buf)
		line, complete, err := gathered.feed(buf[:n])
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

// endOfRead is why a connection ended before a complete line, with the error where that adds to the reason.
func endOfRead(ctx context.Context, err error) (endReason, error) {
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

// reply writes a reply; cause is the error that it answers, or nil.
func reply(conn net.Conn, text []byte, cause error) (endReason, error) {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // of a closed connection: the write fails
	if _, err := conn.Write(text); err != nil {
		return endWriteFailed, err
	}
	// What the caller sent beyond its line would make the close a reset, and the reply could be lost with it.
	// An error means that the caller has closed already.
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
		_ = tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, tcp, lingerBytes)
	}
	return endAnswered, cause
}

// answer carries a call out and words its reply.
func (s *Server) answer(ctx context.Context, call Call) []byte {
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

// positiveReply repeats a call that was carried out.
func positiveReply(call Call) []byte {
	text := "ACK " + string(call.Verb)
	if call.ID != "" {
		text += " " + call.ID
	}
	return []byte(text + "\n")
}

// negativeReply is the reason code of an error, then its detail if it has one.
func negativeReply(err error) []byte {
	reason := Reason(err)
	text := "NAK " + reason
	if detail, ok := strings.CutPrefix(err.Error(), reason+": "); ok {
		text += " " + detail
	}
	return []byte(text + "\n")
}
