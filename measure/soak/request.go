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
	classIndex := c.source.IntN(len(engineClasses))
	if engineClasses[classIndex].Name == "load" && !ordered {
		classIndex = 0
	}
	req := &request{class: &engineClasses[classIndex], timeout: clientTimeouts[classIndex], broker: broker}
	req.id = fmt.Sprintf("%08x%08x", c.prefix, c.requests.Add(1))
	if req.class.Name == "load" {
		req.key = fmt.Sprintf("%08x%08x", c.prefix, c.keys.WaitForRandomKey(ctx, c.source)+1)
	}
	class := client.Class{Engine: *req.class, Timeout: req.timeout}
	req.statement = class.Statement(req.id, "fishing-fleet", "op"+req.id, req.key, c.source.IntN(dataSetCount), false)
	return req
}

func (c *clientProcess) sent(req *request, at time.Time) {
	req.sentAt = at
	c.events.write(Event{
		Kind: RequestSent, At: at, Broker: req.broker, Request: req.id, Class: req.class.Name, Key: req.key,
		Timeout: req.timeout,
	})
}

func (c *clientProcess) ended(req *request, outcome Outcome, detail string) {
	c.events.write(Event{
		Kind: RequestEnded, At: time.Now(), Broker: req.broker, Request: req.id, Outcome: outcome, Detail: detail,
	})
}

// open connects, logs in and sends a first request. It returns nil if that did not work.
func (c *clientProcess) open(ctx context.Context, req *request) *rawclient.Session {
	session, err := rawclient.Connect(ctx, req.broker, req.statement, func(at time.Time) { c.sent(req, at) })
	if err == nil {
		return session
	}
	switch {
	case req.sentAt.IsZero():
	case errors.Is(err, os.ErrDeadlineExceeded): // the client waits no longer for its login
		c.ended(req, ClientDisconnected, "at login")
	default:
		c.ended(req, ConnectionClosed, "at login: "+err.Error())
	}
	return nil
}

// finish reads the answer to a request and reports it. It reports whether the session can go on.
func (c *clientProcess) finish(session *rawclient.Session, req *request) bool {
	return c.readAnswer(session, req, func(error) bool { return false })
}

// finishCrossing reads what comes for a request that may have crossed the close of its connection. It reports
// whether the session can go on.
func (c *clientProcess) finishCrossing(session *rawclient.Session, req *request) bool {
	return c.readAnswer(session, req, func(err error) bool {
		return time.Since(req.sentAt) <= crossingWindow && !errors.Is(err, os.ErrDeadlineExceeded)
	})
}

// readAnswer reads the answer to a request and reports it; crossed reports whether an error means that the
// request crossed the close of its connection.
func (c *clientProcess) readAnswer(session *rawclient.Session, req *request, crossed func(error) bool) bool {
	answer, err := session.ReadAnswer(req.sentAt.Add(req.timeout + lateAnswerWindow))
	switch {
	case err == nil:
		outcome, detail := outcomeOfAnswer(req, answer)
		c.ended(req, outcome, detail)
		return true
	case errors.Is(err, net.ErrClosed): // by this process, whose time is over
		c.ended(req, ClientDisconnected, "end of the run")
	case crossed(err):
		c.ended(req, ClientDisconnected, "crossed")
	default:
		c.ended(req, outcomeOfError(err), err.Error())
	}
	return false
}

func outcomeOfError(err error) Outcome {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return NoAnswer
	}
	return ConnectionClosed
}

func outcomeOfAnswer(req *request, answer rawclient.Answer) (outcome Outcome, detail string) {
	switch {
	case answer.Rejected():
		return Rejected, ""
	case answer.ErrorCode != 0:
		return Failed, fmt.Sprint(answer.ErrorCode)
	case answer.Rows != strings.Join(req.class.Result(req.id), ""):
		return WrongRows, fmt.Sprintf("%d bytes", len(answer.Rows))
	}
	return Served, ""
}
