package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"wheatlane/internal/emulator/client"
	"wheatlane/internal/emulator/engine"
	"wheatlane/internal/emulator/rawclient"
)

const (
	lateAnswerWindow = 500 * time.Millisecond // an answer may come so long after the client's timeout
	crossingWindow   = 50 * time.Millisecond  // a request that crosses a close within it is sent again
	dataSetCount     = 24
)

// clientTimeouts are how long clients wait, by the class of engineClasses.
var clientTimeouts = []time.Duration{1200 * time.Millisecond, 2500 * time.Millisecond, 3 * time.Second}

// request is one request of a client.
type request struct {
	id        string
	class     *engine.Class
	timeout   time.Duration
	broker    string
	key       string
	statement string
	sentAt    time.Time
}

// newRequest draws a request. One of an ordered class waits for the turn of its key.
func (c *clientProcess) newRequest(ctx context.Context, broker string, ordered bool) *request {
	n := c.source.IntN(len(engineClasses))
	if engineClasses[n].Name == "load" && !ordered {
		n = 0
	}
	r := &request{class: &engineClasses[n], timeout: clientTimeouts[n], broker: broker}
	r.id = fmt.Sprintf("%08x%08x", c.prefix, c.requests.Add(1))
	if r.class.Name == "load" {
		r.key = fmt.Sprintf("%08x%08x", c.prefix, c.keys.Reserve(ctx, c.source)+1)
	}
	class := client.Class{Engine: *r.class, Timeout: r.timeout}
	r.statement = class.Statement(r.id, "fishing-fleet", "op"+r.id, r.key, c.source.IntN(dataSetCount), false)
	return r
}

func (c *clientProcess) sent(r *request, at time.Time) {
	r.sentAt = at
	c.events.write(Event{
		Kind: RequestSent, At: at, Broker: r.broker, Request: r.id, Class: r.class.Name, Key: r.key,
		Timeout: r.timeout,
	})
}

func (c *clientProcess) ended(r *request, outcome Outcome, detail string) {
	c.events.write(Event{
		Kind: RequestEnded, At: time.Now(), Broker: r.broker, Request: r.id, Outcome: outcome, Detail: detail,
	})
}

// open connects, logs in and sends a first request. It returns nil if that did not work.
func (c *clientProcess) open(ctx context.Context, r *request) *rawclient.Session {
	s, err := rawclient.Connect(ctx, r.broker, r.statement, func(at time.Time) { c.sent(r, at) })
	if err == nil {
		return s
	}
	switch {
	case r.sentAt.IsZero():
	case errors.Is(err, os.ErrDeadlineExceeded): // the client waits no longer for its login
		c.ended(r, Left, "at login")
	default:
		c.ended(r, Closed, "at login: "+err.Error())
	}
	return nil
}

// finish reads the answer to a request and reports it. It reports whether the session can go on.
func (c *clientProcess) finish(s *rawclient.Session, r *request) bool {
	return c.readAnswer(s, r, func(error) bool { return false })
}

// finishCrossing reads what comes for a request that may have crossed the close of its connection. It reports
// whether the session can go on.
func (c *clientProcess) finishCrossing(s *rawclient.Session, r *request) bool {
	return c.readAnswer(s, r, func(err error) bool {
		return time.Since(r.sentAt) <= crossingWindow && !errors.Is(err, os.ErrDeadlineExceeded)
	})
}

// readAnswer reads the answer to a request and reports it; crossed reports whether an error means that the
// request crossed the close of its connection.
func (c *clientProcess) readAnswer(s *rawclient.Session, r *request, crossed func(error) bool) bool {
	answer, err := s.ReadAnswer(r.sentAt.Add(r.timeout + lateAnswerWindow))
	switch {
	case err == nil:
		outcome, detail := outcomeOfAnswer(r, answer)
		c.ended(r, outcome, detail)
		return true
	case errors.Is(err, net.ErrClosed): // by this process, whose time is over
		c.ended(r, Left, "end of the run")
	case crossed(err):
		c.ended(r, Left, "crossed")
	default:
		c.ended(r, outcomeOfError(err), err.Error())
	}
	return false
}

func outcomeOfError(err error) Outcome {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return NoAnswer
	}
	return Closed
}

func outcomeOfAnswer(r *request, answer rawclient.Answer) (outcome Outcome, detail string) {
	switch {
	case answer.Rejected():
		return Rejected, ""
	case answer.ErrorCode != 0:
		return Failed, fmt.Sprint(answer.ErrorCode)
	case answer.Rows != strings.Join(r.class.Result(r.id), ""):
		return WrongRows, fmt.Sprintf("%d bytes", len(answer.Rows))
	}
	return Served, ""
}
