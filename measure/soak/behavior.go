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
	secondAnswerWait  = 30 * time.Millisecond
	maxPipelined      = 6 // requests
	maxPieces         = 4
	maxPieceDelay     = 60 * time.Millisecond
	maxRest           = 2500 * time.Millisecond
	maxCloseWait      = 4 * maxRest // for the broker to end a connection at rest
	openCheckTime     = time.Millisecond
	requestsOfSession = 4
)

// behavior is what a session of a client does with a broker.
type behavior func(c *clientProcess, ctx context.Context, broker string)

// behaviors are what sessions of a client may do; each is drawn as often as it is listed.
var behaviors = []behavior{
	(*clientProcess).single, (*clientProcess).single, (*clientProcess).single,
	(*clientProcess).rest, (*clientProcess).rest,
	(*clientProcess).pipeline, (*clientProcess).inPieces, (*clientProcess).leave, (*clientProcess).leave,
	(*clientProcess).sendAtClose, (*clientProcess).breakOff,
}

// withFirstRequest draws a request, sends it on a new connection and calls use, unless that did not work.
func (c *clientProcess) withFirstRequest(
	ctx context.Context, broker string, ordered bool, behave func(*rawclient.Session, *request),
) {
	first := c.newRequest(ctx, broker, ordered)
	session := c.open(ctx, first)
	if session == nil {
		return
	}
	defer session.Close()
	behave(session, first)
}

// withLogin logs in on a new connection and calls use, unless that did not work.
func (c *clientProcess) withLogin(ctx context.Context, broker string, behave func(*rawclient.Session)) {
	session, err := rawclient.Connect(ctx, broker, "", func(time.Time) {})
	if err != nil {
		return
	}
	defer session.Close()
	behave(session)
}

// single sends one request on a new connection, and looks for a second answer.
func (c *clientProcess) single(ctx context.Context, broker string) {
	c.withFirstRequest(ctx, broker, true, func(session *rawclient.Session, req *request) {
		if c.finish(session, req) && session.WatchIdle(secondAnswerWait) == rawclient.UnexpectedData {
			c.ended(req, DuplicateAnswer, "")
		}
	})
}

// rest sends some requests on one connection with rests between them, in which the broker may close it.
func (c *clientProcess) rest(ctx context.Context, broker string) {
	c.withFirstRequest(ctx, broker, false, func(session *rawclient.Session, first *request) {
		if !c.finish(session, first) {
			return
		}
		for range requestsOfSession - 1 {
			pacing.Pause(ctx, c.source.Duration(maxRest))
			req := c.newRequest(ctx, broker, false)
			c.sendOnOpen(ctx, session, req)
			if req.sentAt.IsZero() || !c.finishCrossing(session, req) {
				return
			}
		}
	})
}

// sendOnOpen sends a request on a connection that rested. If its end has come already, there is no request.
func (c *clientProcess) sendOnOpen(ctx context.Context, session *rawclient.Session, req *request) {
	if session.WatchIdle(openCheckTime) != rawclient.StayedOpen || ctx.Err() != nil {
		return
	}
	at := time.Now()
	if err := session.Write(rawclient.QueryPacket(req.statement)); err != nil {
		return
	}
	c.sent(req, at)
}

// pipeline sends several requests at once on a new connection, and reads their answers in order.
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
			c.sent(req, at)
		}
		for _, req := range all { // those behind one that was lost are lost as well
			c.finish(session, req)
		}
	})
}

// inPieces writes a request in pieces with pauses between them.
func (c *clientProcess) inPieces(ctx context.Context, broker string) {
	req := c.newRequest(ctx, broker, false)
	c.withLogin(ctx, broker, func(session *rawclient.Session) {
		text := rawclient.QueryPacket(req.statement)
		for range c.source.IntN(maxPieces) {
			n := 1 + c.source.IntN(len(text)-1)
			if session.Write(text[:n]) != nil {
				return
			}
			if text = text[n:]; len(text) < 2 {
				break
			}
			pacing.Pause(ctx, c.source.Duration(maxPieceDelay))
		}
		at := time.Now()
		if session.Write(text) != nil {
			return
		}
		c.sent(req, at)
		c.finish(session, req)
	})
}

// leave sends a request and leaves before its answer, by KILL QUERY, a close or a reset.
func (c *clientProcess) leave(ctx context.Context, broker string) {
	c.withFirstRequest(ctx, broker, true, func(session *rawclient.Session, req *request) {
		wait := c.source.Duration(req.timeout)
		answer, err := session.ReadAnswer(time.Now().Add(wait))
		switch {
		case err == nil:
			outcome, detail := outcomeOfAnswer(req, answer)
			c.ended(req, outcome, detail)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.ended(req, ConnectionClosed, err.Error())
		default:
			by := rawclient.DisconnectMethod(c.source.IntN(rawclient.DisconnectMethodCount))
			session.Disconnect(ctx, req.broker, by, func(by rawclient.DisconnectMethod) { c.ended(req, ClientDisconnected, by.String()) })
		}
	})
}

// sendAtClose rests after an answer until the broker ends the connection, for a while, and writes a request in
// that moment. Such a request is owed nothing on this connection, but must not be run.
func (c *clientProcess) sendAtClose(ctx context.Context, broker string) {
	c.withFirstRequest(ctx, broker, false, func(session *rawclient.Session, first *request) {
		stop := context.AfterFunc(ctx, session.Close)
		defer stop()
		if !c.finish(session, first) || session.WatchIdle(maxCloseWait) == rawclient.UnexpectedData {
			return
		}
		late := c.newRequest(ctx, broker, false) // the broker ended the connection, or the wait is over
		if session.Write(rawclient.QueryPacket(late.statement)) == nil {
			c.sent(late, time.Now())
			c.finishCrossing(session, late)
		}
	})
}

// breakOff sends a fragment of a request, and goes.
func (c *clientProcess) breakOff(ctx context.Context, broker string) {
	req := c.newRequest(ctx, broker, false)
	c.withLogin(ctx, broker, func(session *rawclient.Session) {
		text := rawclient.QueryPacket(req.statement)
		if session.Write(text[:c.source.IntN(len(text))]) != nil {
			return
		}
		pacing.Pause(ctx, c.source.Duration(maxRest))
		if c.source.IntN(2) == 0 {
			session.Reset()
		}
	})
}
