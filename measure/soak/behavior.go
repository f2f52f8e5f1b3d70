package main

import (
	"context"
	"errors"
	"os"
	"time"

	"wheatlane/internal/emulator/pacing"
	"wheatlane/internal/emulator/rawclient"
)

const (
	duplicateAnswerWait = 30 * time.Millisecond
	maxPipelined        = 6 // requests
	maxFragments        = 4
	maxFragmentDelay    = 60 * time.Millisecond
	maxIdle             = 2500 * time.Millisecond
	maxCloseWait        = 4 * maxIdle // for the broker to close an idle connection
	openCheckTime       = time.Millisecond
	requestsPerSession  = 4
	maxConnectionUse    = 8 * time.Second        // longer than from SIGTERM to SIGKILL
	maxUseInterval      = 150 * time.Millisecond // between requests on a connection in use
)

// behavior is the behavior of one client session towards a broker.
type behavior func(c *clientProcess, ctx context.Context, broker string)

// behaviors lists the behaviors that sessions are drawn from. A repeated entry is drawn more often.
var behaviors = []behavior{
	(*clientProcess).singleRequest, (*clientProcess).singleRequest, (*clientProcess).singleRequest,
	(*clientProcess).idleBetweenRequests, (*clientProcess).idleBetweenRequests,
	(*clientProcess).pipeline, (*clientProcess).sendFragmented,
	(*clientProcess).disconnectEarly, (*clientProcess).disconnectEarly,
	(*clientProcess).killRequest, (*clientProcess).killRequest,
	(*clientProcess).sendAtClose, (*clientProcess).abortRequest,
	(*clientProcess).requestUntilClosed, (*clientProcess).requestUntilClosed,
}

// withFirstRequest draws a request, sends it on a new connection and calls behave. It does not call behave if
// connecting or sending fails.
func (c *clientProcess) withFirstRequest(
	ctx context.Context, broker string, ordered bool, behave func(*rawclient.Session, *request),
) {
	first := c.newRequest(ctx, broker, ordered)
	session := c.connectAndSend(ctx, first)
	if session == nil {
		return
	}
	defer session.Close()
	behave(session, first)
}

// withLogin logs in on a new connection and calls behave. It does not call behave if connecting or the login fails.
func (c *clientProcess) withLogin(ctx context.Context, broker string, behave func(*rawclient.Session)) {
	session, err := rawclient.Connect(ctx, broker, "", func(time.Time) {})
	if err != nil {
		return
	}
	defer session.Close()
	behave(session)
}

// singleRequest sends one request on a new connection, and checks for a duplicate answer.
func (c *clientProcess) singleRequest(ctx context.Context, broker string) {
	c.withFirstRequest(ctx, broker, true, func(session *rawclient.Session, req *request) {
		if c.receiveAnswer(session, req) && session.WatchIdle(duplicateAnswerWait) == rawclient.UnexpectedData {
			c.reportEnded(req, DuplicateAnswer, "")
		}
	})
}

// idleBetweenRequests sends several requests on one connection that is idle between them. The broker may close an idle
// connection.
func (c *clientProcess) idleBetweenRequests(ctx context.Context, broker string) {
	c.withFirstRequest(ctx, broker, false, func(session *rawclient.Session, first *request) {
		if !c.receiveAnswer(session, first) {
			return
		}
		for range requestsPerSession - 1 {
			pacing.Pause(ctx, c.source.Duration(maxIdle))
			req := c.newRequest(ctx, broker, false)
			c.sendIfOpen(ctx, session, req)
			if req.sentAt.IsZero() || !c.receiveAnswerOrClose(session, req) {
				return
			}
		}
	})
}

// requestUntilClosed sends requests on one connection until the broker closes it, also after the broker was told to
// end, or for maxConnectionUse.
func (c *clientProcess) requestUntilClosed(ctx context.Context, broker string) {
	c.withFirstRequest(ctx, broker, false, func(session *rawclient.Session, first *request) {
		if !c.receiveAnswer(session, first) {
			return
		}
		for end := time.Now().Add(maxConnectionUse); time.Now().Before(end) && ctx.Err() == nil; {
			pacing.Pause(ctx, c.source.Duration(maxUseInterval))
			req := c.newRequest(ctx, broker, false)
			c.sendIfOpen(ctx, session, req)
			if req.sentAt.IsZero() || !c.receiveAnswerOrClose(session, req) {
				return
			}
		}
	})
}

// sendIfOpen sends a request on a connection that was idle. It sends and reports nothing if the connection has ended.
func (c *clientProcess) sendIfOpen(ctx context.Context, session *rawclient.Session, req *request) {
	if session.WatchIdle(openCheckTime) != rawclient.StayedOpen || ctx.Err() != nil {
		return
	}
	at := time.Now()
	if err := session.Write(rawclient.QueryPacket(req.statement)); err != nil {
		return
	}
	c.reportSent(req, at)
}

// pipeline sends several requests in one write on a new connection, and reads their answers in order.
func (c *clientProcess) pipeline(ctx context.Context, broker string) {
	first := c.newRequest(ctx, broker, false)
	all := make([]*request, 0, maxPipelined)
	all = append(all, first)
	text := rawclient.QueryPacket(first.statement)
	for range 1 + c.source.IntN(maxPipelined-1) {
		req := c.newRequest(ctx, broker, false)
		all = append(all, req)
		text = append(text, rawclient.QueryPacket(req.statement)...)
	}
	c.withLogin(ctx, broker, func(session *rawclient.Session) {
		at := time.Now()
		if session.Write(text) != nil {
			return
		}
		for _, req := range all {
			c.reportSent(req, at)
		}
		for _, req := range all { // after one lost answer all later ones are lost too
			c.receiveAnswer(session, req)
		}
	})
}

// sendFragmented writes a request in fragments with pauses between them.
func (c *clientProcess) sendFragmented(ctx context.Context, broker string) {
	req := c.newRequest(ctx, broker, false)
	c.withLogin(ctx, broker, func(session *rawclient.Session) {
		text := rawclient.QueryPacket(req.statement)
		for range c.source.IntN(maxFragments) {
			n := 1 + c.source.IntN(len(text)-1)
			if session.Write(text[:n]) != nil {
				return
			}
			if text = text[n:]; len(text) < 2 {
				break
			}
			pacing.Pause(ctx, c.source.Duration(maxFragmentDelay))
		}
		at := time.Now()
		if session.Write(text) != nil {
			return
		}
		c.reportSent(req, at)
		c.receiveAnswer(session, req)
	})
}

// killRequest is disconnectEarly by KILL QUERY, whose connection may reach the other process of an upgrade.
func (c *clientProcess) killRequest(ctx context.Context, broker string) {
	c.disconnectBy(ctx, broker, rawclient.ByKill)
}

// disconnectEarly sends a request and, after a random part of its timeout, cancels it or disconnects: by KILL QUERY, a
// close or a reset.
func (c *clientProcess) disconnectEarly(ctx context.Context, broker string) {
	c.disconnectBy(ctx, broker, rawclient.DisconnectMethod(c.source.IntN(rawclient.DisconnectMethodCount)))
}

func (c *clientProcess) disconnectBy(ctx context.Context, broker string, by rawclient.DisconnectMethod) {
	c.withFirstRequest(ctx, broker, true, func(session *rawclient.Session, req *request) {
		wait := c.source.Duration(req.timeout)
		answer, err := session.ReadAnswer(time.Now().Add(wait))
		switch {
		case err == nil:
			outcome, detail := outcomeOfAnswer(req, answer)
			c.reportEnded(req, outcome, detail)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.reportEnded(req, ConnectionClosed, err.Error())
		default:
			session.Disconnect(ctx, req.broker, by, func(by rawclient.DisconnectMethod) {
				c.reportEnded(req, ClientDisconnected, by.String())
			})
		}
	})
}

// sendAtClose stays idle after an answer until the broker closes the connection, or for maxCloseWait, and then writes a
// request. The broker owes such a request no answer on this connection, but must not run it.
func (c *clientProcess) sendAtClose(ctx context.Context, broker string) {
	c.withFirstRequest(ctx, broker, false, func(session *rawclient.Session, first *request) {
		stop := context.AfterFunc(ctx, session.Close)
		defer stop()
		if !c.receiveAnswer(session, first) || session.WatchIdle(maxCloseWait) == rawclient.UnexpectedData {
			return
		}
		late := c.newRequest(ctx, broker, false) // the broker closed the connection, or the wait timed out
		if session.Write(rawclient.QueryPacket(late.statement)) == nil {
			c.reportSent(late, time.Now())
			c.receiveAnswerOrClose(session, late)
		}
	})
}

// abortRequest sends the first fragment of a request and disconnects after a pause.
func (c *clientProcess) abortRequest(ctx context.Context, broker string) {
	req := c.newRequest(ctx, broker, false)
	c.withLogin(ctx, broker, func(session *rawclient.Session) {
		text := rawclient.QueryPacket(req.statement)
		if session.Write(text[:c.source.IntN(len(text))]) != nil {
			return
		}
		pacing.Pause(ctx, c.source.Duration(maxIdle))
		if c.source.IntN(2) == 0 {
			session.Reset()
		}
	})
}
