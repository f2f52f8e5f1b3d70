package adminapi

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	// readWithin is how long a caller has for its line. Callers that send nothing hold a goroutine of their own
	// for so long, and nobody else waits for them.
	readWithin = 5 * time.Second
	// answerWithin is how long the broker has for what a call asks; the page owes a reply within 1 s.
	answerWithin = 800 * time.Millisecond
	// writeWithin bounds the write of a reply.
	writeWithin = time.Second
	// lingerWithin and lingerBytes bound what is read and passed over after a reply, before the close.
	lingerWithin = 250 * time.Millisecond
	lingerBytes  = 64 << 10
	// mostCallers are served at once; one more is closed at once.
	mostCallers = 32
	// acceptPause is how long the listener rests after a failed accept.
	acceptPause = 50 * time.Millisecond
)

// ErrNotListed is what SetDown and SetUp return for an engine that was never in the list.
var ErrNotListed = errors.New("not_listed")

// ErrBusy is what a call returns that the broker could not carry out within answerWithin.
var ErrBusy = errors.New("busy")

// Broker is what the calls ask of. Each method is bounded by ctx.
type Broker interface {
	// Ready tells whether the process is ready to serve.
	Ready(ctx context.Context) (bool, error)
	// Vars appends the figures, one a line in the text exposition form.
	Vars(ctx context.Context, to []byte) ([]byte, error)
	// StartMaintenance leaves an engine out until SetUp; ErrNotListed for an id never listed.
	StartMaintenance(ctx context.Context, id string) error
	// EndMaintenance ends a ban; ErrNotListed for an id never listed.
	EndMaintenance(ctx context.Context, id string) error
}

// The reason codes of the log lines of ended connections here, beside those of internal/node.
const (
	answered    = "answered"             // a reply was written
	peerClosed  = "peer_closed"          // the caller closed before a whole line
	readTimeout = "read_timeout"         // no whole line in time
	tooMany     = "too_many_connections" // mostCallers were served already
	writeFailed = "write_timeout"        // the reply could not be written
	shutdown    = "shutdown"             // the broker stops
)

// Server answers calls at a listener.
type Server struct {
	Broker Broker
	Log    *zap.Logger
}

// Serve answers until ctx ends; it closes ln then.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	slots := make(chan struct{}, mostCallers)
	g.Go(func() error {
		for {
			nc, err := ln.Accept()
			if err != nil {
				if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
					return nil
				}
				s.Log.Warn("operator accept failed", zap.Error(err))
				select {
				case <-ctx.Done():
				case <-time.After(acceptPause):
				}
				continue
			}
			began := time.Now()
			select {
			case slots <- struct{}{}:
			default:
				nc.Close()
				s.ended(nc, began, tooMany, nil)
				continue
			}
			g.Go(func() error {
				defer func() { <-slots }()
				reason, err := s.serve(ctx, nc)
				s.ended(nc, began, reason, err)
				return nil
			})
		}
	})
	return g.Wait()
}

func (s *Server) ended(nc net.Conn, began time.Time, reason string, err error) {
	fields := []zap.Field{zap.String("side", "operator"), zap.String("peer", nc.RemoteAddr().String()),
		zap.String("reason", reason), zap.Duration("lasted", time.Since(began))}
	if err != nil {
		fields = append(fields, zap.Error(err))
	}
	s.Log.Info("connection ended", fields...)
}

// serve reads one call and answers it.
func (s *Server) serve(ctx context.Context, nc net.Conn) (reason string, err error) {
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.SetDeadline(time.Now()) })
	defer stop()
	nc.SetReadDeadline(time.Now().Add(readWithin))
	var l Liner
	buf := make([]byte, MaxLine)
	var call Call
	for {
		k, rerr := nc.Read(buf)
		line, whole, err := l.Feed(buf[:k])
		if err == nil && whole {
			call, err = Parse(line)
		}
		if err != nil {
			return s.write(nc, nak(nil, err), err)
		}
		if whole {
			break
		}
		switch {
		case ctx.Err() != nil:
			return shutdown, nil
		case errors.Is(rerr, os.ErrDeadlineExceeded):
			return readTimeout, nil
		case errors.Is(rerr, io.EOF):
			return peerClosed, nil
		case rerr != nil:
			return peerClosed, rerr
		}
	}
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	return s.write(nc, s.answer(ctx, call), nil)
}

func (s *Server) write(nc net.Conn, reply []byte, why error) (string, error) {
	nc.SetWriteDeadline(time.Now().Add(writeWithin))
	if _, err := nc.Write(reply); err != nil {
		return writeFailed, err
	}
	// What the caller sent beyond its line would make the close a reset, and the reply could be lost with it.
	if tc, ok := nc.(*net.TCPConn); ok {
		tc.CloseWrite()
		nc.SetReadDeadline(time.Now().Add(lingerWithin))
		io.CopyN(io.Discard, nc, lingerBytes)
	}
	return answered, why
}

// answer carries a call out and words its reply.
func (s *Server) answer(ctx context.Context, c Call) []byte {
	var err error
	switch c.Verb {
	case Check:
		var ready bool
		if ready, err = s.Broker.Ready(ctx); err == nil && !ready {
			return []byte("NAK not_ready\n")
		}
	case Vars:
		reply := []byte("ACK vars\n")
		if reply, err = s.Broker.Vars(ctx, reply); err == nil {
			return append(reply, "--\n"...)
		}
	case SetDown:
		err = s.Broker.StartMaintenance(ctx, c.ID)
	case SetUp:
		err = s.Broker.EndMaintenance(ctx, c.ID)
	}
	if err != nil {
		return nak(nil, err)
	}
	reply := append([]byte("ACK "), c.Verb...)
	if c.ID != "" {
		reply = append(append(reply, ' '), c.ID...)
	}
	return append(reply, '\n')
}

// nak words a refusal: its reason code, then what more the error says.
func nak(to []byte, err error) []byte {
	reason := Reason(err)
	to = append(append(to, "NAK "...), reason...)
	if more, ok := strings.CutPrefix(err.Error(), reason+": "); ok {
		to = append(append(to, ' '), more...)
	}
	return append(to, '\n')
}
