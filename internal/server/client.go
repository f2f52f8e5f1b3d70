package server

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"wheatlane/internal/broker"
	"wheatlane/internal/mysql"
	"wheatlane/internal/ring"
)

const (
	loginUser, loginDatabase = "app", "main"

	maxClientReceiveBytes = mysql.MaxPacket + mysql.HeaderLen // a whole packet
	maxClientSendBytes    = 256 << 10                         // several whole results
	loginTimeout          = 2 * time.Second                   // protocol: whoever says nothing is owed an end within 3 s
	partialMessageTimeout = 2 * time.Second                   // and so is one that begins a message and does not end it
	clientIdleMargin      = time.Minute                       // beyond the longest deadline; clients close sooner
	lingerTime            = 200 * time.Millisecond
	lingerBytes           = 1 << 20
	acceptRetryDelay      = 10 * time.Millisecond // after a failed accept
	// What neither connections to engines nor ownSockets need of the limit of sockets is for clients. One part
	// in closingShare is for connections that are about to end, the rest bounds the sessions.
	ownSockets           = 16 // listener, change log, log, configuration file, the runtime's own
	closingSocketDivisor = 8
)

// client is a client's connection.
type client struct {
	n            *Server
	id           broker.Session
	link         *bufferedConn
	hasSubmitted bool // a request came on it
	looks        int  // time-outs that found its socket empty at the end; of the goroutine that reads
	readOut      bool // the same, once all that was read is with the reducer; of the reducer's goroutine

	admitted chan struct{} // closed once it may be greeted
}

// accept takes connections as they come.
func (n *Server) accept(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { n.ln.Close() })
	defer stop()
	timeouts := 0
	for {
		nc, err := n.ln.Accept()
		if err != nil && isTimeout(err) && n.closingListeners() {
			if timeouts++; n.listenerTimedOut(timeouts) {
				return nil
			}
			continue
		}
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return ctx.Err()
			}
			n.log.Sugar().Warnw("accept failed", "error", err)
			select {
			case <-ctx.Done():
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		began := time.Now()
		peer := nc.RemoteAddr().String()
		select {
		case n.clientSlots <- struct{}{}:
		default:
			// Closed at once, not left waiting in the kernel: what is written there counts as taken, and requests
			// of one key that come later would overtake it.
			rejectConnection(nc)
			n.ended(ClientSide, peer, began, &endError{Reason: TooManyConnections})
			continue
		}
		n.lastSession++
		c := &client{n: n, id: n.lastSession, link: newBufferedConn(nc, 0, maxClientReceiveBytes, maxClientSendBytes), admitted: make(chan struct{})}
		// From here, so that it comes ahead of the word that all was accepted.
		n.post(ctx, func() {
			n.clients[c.id] = c
			n.apply(broker.SessionOpened{Session: c.id})
		})
		n.group.Go(func() error {
			defer func() { <-n.clientSlots }()
			n.ended(ClientSide, peer, began, c.link.run(ctx, c.read))
			n.post(ctx, func() {
				delete(n.clients, c.id)
				n.apply(broker.SessionClosed{Session: c.id})
			})
			return nil
		})
	}
}

// rejectConnection refuses a connection that there is no room for, without waiting for anything.
func rejectConnection(nc net.Conn) {
	defer nc.Close()
	nc.Write(mysql.AppendError(nil, 0, mysql.CodeConnections, "too many connections")) //nolint:errcheck // a new socket has room for it
	// Guards against a close over unread bytes, which would be a reset: its client may have lost the refusal then.
	if tcp, ok := nc.(*net.TCPConn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			buf := make([]byte, 4<<10)
			raw.Read(func(fd uintptr) bool { //nolint:errcheck // it is closed in any case
				for left := maxClientReceiveBytes; left > 0; {
					size, err := syscall.Read(int(fd), buf)
					if size <= 0 || err != nil {
						break
					}
					left -= size
				}
				return true
			})
		}
	}
}

// read greets a client, logs it in and hands on what it asks.
func (c *client) read(ctx context.Context) error {
	select {
	case <-c.admitted:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := c.greet(); err != nil {
		return err
	}
	l := c.link
	if err := c.setReadTimeout(loginTimeout); err != nil {
		return err
	}
	loggedIn, begun := false, false // begun: a part of a message is there
	within := loginTimeout
	for {
		_, err := l.received.ReadOnce(l.socket)
		if err != nil {
			switch {
			case isTimeout(err) && c.finalRead():
				if err := c.setReadTimeout(within); err != nil {
					return err
				}
				continue
			case isTimeout(err) && !loggedIn:
				return &endError{LoginTimeout, err}
			case isTimeout(err) && begun:
				return &endError{ReadTimeout, err}
			case errors.Is(err, io.EOF):
				return c.halfClosed(ctx, err)
			}
			return err
		}
		sent := now() - c.n.sinceReceived(l.socket)
		for {
			seq, payload, size, err := mysql.ParsePacket(l.received.Bytes())
			if err != nil {
				return c.failProtocol(ctx, 1, mysql.CodeTooLarge, err)
			}
			if size == 0 {
				break
			}
			if loggedIn {
				err = c.handleCommand(ctx, seq, payload, sent)
			} else if err = c.login(ctx, seq, payload); err == nil {
				loggedIn = true
				c.n.post(ctx, func() { c.n.apply(broker.SessionAuthenticated{Session: c.id}) })
			}
			l.received.Discard(size)
			if err != nil {
				return err
			}
		}
		if loggedIn && (!begun || l.received.Len() == 0) {
			within = c.n.longestGiveUp() + clientIdleMargin
		}
		switch part := l.received.Len() > 0; {
		case !loggedIn, part && begun: // its time is running, however slowly more comes
			continue
		case part:
			within = partialMessageTimeout
		}
		begun = l.received.Len() > 0
		if err := c.setReadTimeout(within); err != nil {
			return err
		}
	}
}

// halfClosed lets the last answers leave, as the client may still read them, and then the connection ends.
func (c *client) halfClosed(ctx context.Context, err error) error {
	c.n.post(ctx, func() {
		c.n.apply(broker.SessionHalfClosed{Session: c.id})
		c.link.closeAfterSent(&endError{Reason: PeerClosed})
	})
	<-ctx.Done()
	return err
}

func (c *client) greet() error {
	var salt [20]byte
	if _, err := rand.Read(salt[:]); err != nil {
		return fmt.Errorf("salt: %w", err)
	}
	for i := range salt {
		salt[i] = salt[i]%94 + 33 // printable
	}
	_, err := c.link.write(mysql.AppendGreeting(nil, uint32(c.id), salt))
	return err
}

// login checks the answer to the greeting.
func (c *client) login(ctx context.Context, seq byte, payload []byte) error {
	if seq != 1 {
		return c.failProtocol(ctx, seq+1, mysql.CodeSequence, mysql.ErrSequence)
	}
	l, err := mysql.ParseLogin(payload)
	switch {
	case err != nil:
		return c.failProtocol(ctx, seq+1, mysql.CodeHandshake, err)
	case l.User != loginUser || l.Password:
		return c.failProtocol(ctx, seq+1, mysql.CodeAccessDenied, &endError{AccessDenied, fmt.Errorf("access denied for user %.40q", l.User)})
	case l.Database != "" && l.Database != loginDatabase:
		return c.failProtocol(ctx, seq+1, mysql.CodeUnknownDB, &endError{AccessDenied, fmt.Errorf("unknown database %.40q", l.Database)})
	}
	_, err = c.link.write(mysql.AppendOK(nil, seq+1))
	return err
}

// failProtocol answers what can't be read, after which nothing can, and ends the connection.
func (c *client) failProtocol(ctx context.Context, seq byte, code int, err error) error {
	if _, full := c.link.write(mysql.AppendError(nil, seq, code, err.Error())); full != nil {
		return full
	}
	left := make(chan struct{})
	c.link.afterSent(func() { close(left) })
	select {
	case <-left:
	case <-ctx.Done():
		return err
	}
	if linger := c.link.linger(ctx); linger != nil && !isTimeout(linger) {
		return errors.Join(err, linger)
	}
	return err
}

// linger lets the other side read the last words: closing with bytes unread would reset the connection and
// could destroy them on their way.
func (l *bufferedConn) linger(context.Context) error {
	if err := l.socket.SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
		return err
	}
	_, err := io.CopyN(io.Discard, l.socket, lingerBytes)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// handleCommand hands on one command. Its answer comes in its turn.
func (c *client) handleCommand(ctx context.Context, seq byte, payload []byte, sent time.Duration) error {
	if seq != 0 {
		return c.failProtocol(ctx, seq+1, mysql.CodeSequence, mysql.ErrSequence)
	}
	if len(payload) == 0 {
		return c.failProtocol(ctx, 1, mysql.CodeMalformed, mysql.ErrMalformed)
	}
	var ev broker.Event
	text := string(payload[1:])
	switch mysql.Command(payload[0]) {
	case mysql.Quit:
		return &endError{Reason: Quit}
	case mysql.Ping:
		ev = broker.Ping{Session: c.id}
	case mysql.Query:
		ev = c.parseQuery(text, sent)
	case mysql.Reset:
		ev = c.invalidRequest(broker.ReplyOK, "")
	case mysql.InitDB:
		if ev = c.invalidRequest(broker.ReplyOK, ""); text != loginDatabase {
			ev = c.invalidRequest(broker.ReplyUnknownDatabase, fmt.Sprintf("unknown database %.40q", text))
		}
	default:
		ev = c.invalidRequest(broker.ReplyUnknownCommand, fmt.Sprintf("unknown command %d", payload[0]))
	}
	c.n.post(ctx, func() { c.n.apply(ev) })
	return nil
}

func (c *client) invalidRequest(kind broker.ReplyKind, text string) broker.Event {
	return broker.InvalidRequest{Session: c.id, Reply: broker.Reply{Kind: kind, Text: text}}
}

// parseQuery translates a statement.
func (c *client) parseQuery(text string, sent time.Duration) broker.Event {
	if id, connection, ok := mysql.ParseKill(text); ok {
		return broker.Kill{RequestedBy: c.id, Target: broker.Session(id), CloseConnection: connection, SentAt: sent}
	}
	s, err := mysql.ParseStatement(text)
	if err != nil {
		return c.invalidRequest(broker.ReplyInvalidFields, err.Error())
	}
	fresh := !c.hasSubmitted
	c.hasSubmitted = true
	return broker.SubmitRequest{Session: c.id, Request: broker.Request{FirstOnConnection: fresh, RequestID: s.RequestID, Class: s.Class, Tenant: s.Tenant,
		IdempotencyKey: s.IdempotencyKey, OrderKey: s.OrderKey, DataSet: s.DataSet, EstimatedWork: time.Duration(s.EstimatedWorkMS * float64(time.Millisecond)),
		EstimatedMemoryMB: s.EstimatedMemoryMB, IsRetry: s.IsRetry, SentAt: sent, Timeout: time.Duration(s.TimeoutMS) * time.Millisecond, Body: s.Text}}
}

// sinceReceived is how long ago the kernel took the last bytes in: a client's wait begins when it sent them,
// not when a busy broker comes to read them. A system that refuses TCP_INFO (a filter of system calls may answer
// ENOSYS) leaves waits counted from reading, which is said once in the log.
func (n *Server) sinceReceived(nc net.Conn) time.Duration {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	var since time.Duration
	var refused error
	if err := raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, refused = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); refused == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	}); err != nil {
		return 0
	}
	if refused != nil && n.tcpInfoRefused.CompareAndSwap(false, true) {
		n.log.Warn("TCP_INFO refused: a client's wait is counted from when its bytes are read", zap.Error(refused))
	}
	return since
}

var errorCodes = map[broker.ReplyKind]int{broker.ReplyRejected: mysql.CodeUserLimit, broker.ReplyFailed: mysql.CodeUnknown,
	broker.ReplyInterrupted: mysql.CodeInterrupted, broker.ReplyNotReady: mysql.CodeShutdown,
	broker.ReplyInvalidFields: mysql.CodeArguments, broker.ReplyUnknownCommand: mysql.CodeCommand,
	broker.ReplyUnknownSession: mysql.CodeNoThread, broker.ReplyUnknownDatabase: mysql.CodeUnknownDB}

var closeReasons = map[broker.CloseReason]Reason{broker.CloseKilled: KilledByClient, broker.CloseEvictedIdle: EvictedIdle, broker.CloseTooManySessions: TooManyConnections}

// sendReply writes an answer to its client, if that is still there.
func (n *Server) sendReply(r broker.Reply) {
	c := n.clients[r.Session]
	if c == nil {
		return
	}
	n.replyBuffer = appendReply(n.replyBuffer[:0], r)
	if _, err := c.link.write(n.replyBuffer); errors.Is(err, ring.ErrFull) {
		c.link.closeAfterSent(&endError{Reason: BufferFull})
		n.later(broker.SessionClosed{Session: r.Session})
	}
}

func appendReply(dst []byte, r broker.Reply) []byte {
	switch r.Kind {
	case broker.ReplyResult:
		return mysql.AppendResult(dst, 1, r.Pages)
	case broker.ReplyOK:
		return mysql.AppendOK(dst, 1)
	case broker.ReplyTooManySessions: // in place of the greeting
		return mysql.AppendError(dst, 0, mysql.CodeConnections, r.Text)
	}
	text := r.Text
	if ms := r.RetryAfter.Milliseconds(); ms > 0 {
		text = fmt.Sprintf("%s; cooldown=%d", text, ms)
	}
	return mysql.AppendError(dst, 1, errorCodes[r.Kind], text)
}
