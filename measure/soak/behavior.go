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
	ctx context.Context, broker string, ordered bool, use func(*rawclient.Session, *request),
) {
	first := c.newRequest(ctx, broker, ordered)
	session := c.open(ctx, first)
	if session == nil {
		return
	}
	defer session.Close()
	use(session, first)
}

// withLogin logs in on a new connection and calls use, unless that did not work.
func (c *clientProcess) withLogin(ctx context.Context, broker string, use func(*rawclient.Session)) {
	session, err := rawclient.Connect(ctx, broker, "", func(time.Time) {})
	if err != nil {
		return
	}
	defer session.Close()
	use(session)
}

// single sends one request on a new connection, and looks for a second answer.
func (c *clientProcess) single(ctx context.Context, broker string) {
	c.withFirstRequest(ctx, broker, true, func(s *rawclient.Session, r *request) {
		if c.finish(s, r) && s.Rest(secondAnswerWait) == rawclient.BytesCame {
			c.ended(r, SecondCame, "")
		}
	})
}

// rest sends some requests on one connection with rests between them, in which the broker may close it.
func (c *clientProcess) rest(ctx context.Context, broker string) {
	c.withFirstRequest(ctx, broker, false, func(s *rawclient.Session, first *request) {
		if !c.finish(s, first) {
			return
		}
		for range requestsOfSession - 1 {
			pacing.Pause(ctx, c.source.Duration(maxRest))
			r := c.newRequest(ctx, broker, false)
			c.sendOnOpen(ctx, s, r)
			if r.sentAt.IsZero() || !c.finishCrossing(s, r) {
				return
			}
		}
	})
}

// sendOnOpen sends a request on a connection that rested. If its end has come already, there is no request.
func (c *clientProcess) sendOnOpen(ctx context.Context, s *rawclient.Session, r *request) {
	if s.Rest(openCheckTime) != rawclient.StayedOpen || ctx.Err() != nil {
		return
	}
	at := time.Now()
	if err := s.Write(rawclient.QueryPacket(r.statement)); err != nil {
		return
	}
	c.sent(r, at)
}

// pipeline sends several requests at once on a new connection, and reads their answers in order.
func (c *clientProcess) pipeline(ctx context.Context, broker string) {
	first := c.newRequest(ctx, broker, false)
	all := make([]*request, 0, maxPipelined)
	all = append(all, first)
	text := rawclient.QueryPacket(first.statement)
	for range 1 + c.source.IntN(maxPipelined-1) {
		r := c.newRequest(ctx, broker, false)
		all = append(all, r)
		text = append(text, rawclient.QueryPacket(r.statement)...)
	}
	c.withLogin(ctx, broker, func(s *rawclient.Session) {
		at := time.Now()
		if s.Write(text) != nil {
			return
		}
		for _, r := range all {
			c.sent(r, at)
		}
		for _, r := range all { // those behind one that was lost are lost as well
			c.finish(s, r)
		}
	})
}

// inPieces writes a request in pieces with pauses between them.
func (c *clientProcess) inPieces(ctx context.Context, broker string) {
	r := c.newRequest(ctx, broker, false)
	c.withLogin(ctx, broker, func(s *rawclient.Session) {
		text := rawclient.QueryPacket(r.statement)
		for range c.source.IntN(maxPieces) {
			n := 1 + c.source.IntN(len(text)-1)
			if s.Write(text[:n]) != nil {
				return
			}
			if text = text[n:]; len(text) < 2 {
				break
			}
			pacing.Pause(ctx, c.source.Duration(maxPieceDelay))
		}
		at := time.Now()
		if s.Write(text) != nil {
			return
		}
		c.sent(r, at)
		c.finish(s, r)
	})
}

// leave sends a request and leaves before its answer, by KILL QUERY, a close or a reset.
func (c *clientProcess) leave(ctx context.Context, broker string) {
	c.withFirstRequest(ctx, broker, true, func(s *rawclient.Session, r *request) {
		wait := c.source.Duration(r.timeout)
		answer, err := s.ReadAnswer(time.Now().Add(wait))
		switch {
		case err == nil:
			outcome, detail := outcomeOfAnswer(r, answer)
			c.ended(r, outcome, detail)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.ended(r, Closed, err.Error())
		default:
			by := rawclient.Departure(c.source.IntN(rawclient.Departures))
			s.Leave(ctx, r.broker, by, func(by rawclient.Departure) { c.ended(r, Left, by.String()) })
		}
	})
}

// sendAtClose rests after an answer until the broker ends the connection, for a while, and writes a request in
// that moment. Such a request is owed nothing on this connection, but must not be run.
func (c *clientProcess) sendAtClose(ctx context.Context, broker string) {
	c.withFirstRequest(ctx, broker, false, func(s *rawclient.Session, first *request) {
		stop := context.AfterFunc(ctx, s.Close)
		defer stop()
		if !c.finish(s, first) || s.Rest(maxCloseWait) == rawclient.BytesCame {
			return
		}
		late := c.newRequest(ctx, broker, false) // the broker ended the connection, or the wait is over
		if s.Write(rawclient.QueryPacket(late.statement)) == nil {
			c.sent(late, time.Now())
			c.finishCrossing(s, late)
		}
	})
}

// breakOff sends a fragment of a request, and goes.
func (c *clientProcess) breakOff(ctx context.Context, broker string) {
	r := c.newRequest(ctx, broker, false)
	c.withLogin(ctx, broker, func(s *rawclient.Session) {
		text := rawclient.QueryPacket(r.statement)
		if s.Write(text[:c.source.IntN(len(text))]) != nil {
			return
		}
		pacing.Pause(ctx, c.source.Duration(maxRest))
		if c.source.IntN(2) == 0 {
			s.Reset()
		}
	})
}
