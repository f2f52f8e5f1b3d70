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
	lateAnswerWindow = 500 * time.Millisecond // for an answer, after the client's timeout
	closeRaceWindow  = 50 * time.Millisecond  // a request sent so shortly before a close counts as racing with it
	dataSetCount     = 24
	// largeStatementPadding makes a statement so long that a broker needs memory to read it.
	largeStatementPadding = 3000
)

// clientTimeouts are the timeouts of clients, in the order of engineClasses.
var clientTimeouts = []time.Duration{1200 * time.Millisecond, 2500 * time.Millisecond, 3 * time.Second}

// shortClientTimeouts are those of deployments whose processes may be killed early after SIGTERM.
var shortClientTimeouts = []time.Duration{900 * time.Millisecond, time.Second, time.Second}

// request is one request of a client to a broker.
type request struct {
	id        string
	class     *engine.Class
	timeout   time.Duration
	broker    string
	key       string // order key
	statement string
	sentAt    time.Time // zero until sent
}

// newRequest draws a request. A request with an order key waits until the next request of that key may be sent. Without
// ordered, no class with an order key is drawn.
func (c *clientProcess) newRequest(ctx context.Context, broker string, ordered bool) *request {
	classIndex := c.source.IntN(len(engineClasses))
	if engineClasses[classIndex].Name == "load" && !ordered {
		classIndex = 0
	}
	req := &request{class: &engineClasses[classIndex], timeout: c.timeouts[classIndex], broker: broker}
	req.id = fmt.Sprintf("%08x%08x", c.prefix, c.requests.Add(1))
	if req.class.Name == "load" {
		req.key = fmt.Sprintf("%08x%08x", c.prefix, c.keys.WaitForRandomKey(ctx, c.source)+1)
	}
	class := client.Class{Engine: *req.class, Timeout: req.timeout}
	req.statement = class.Statement(req.id, "fishing-fleet", "op"+req.id, req.key, c.source.IntN(dataSetCount), false)
	if req.key != "" && c.source.IntN(2) == 0 {
		req.statement += strings.Repeat(" ", largeStatementPadding)
	}
	return req
}

// reportSent reports that a request was sent.
func (c *clientProcess) reportSent(req *request, at time.Time) {
	req.sentAt = at
	c.events.write(Event{
		Kind: RequestSent, At: at, Broker: req.broker, Request: req.id, Class: req.class.Name, Key: req.key,
		Timeout: req.timeout,
	})
}

// reportEnded reports the outcome of a request.
func (c *clientProcess) reportEnded(req *request, outcome Outcome, detail string) {
	c.events.write(Event{
		Kind: RequestEnded, At: time.Now(), Broker: req.broker, Request: req.id, Outcome: outcome, Detail: detail,
	})
}

// connectAndSend connects, logs in and sends a first request. It returns nil if any of these fails.
func (c *clientProcess) connectAndSend(ctx context.Context, req *request) *rawclient.Session {
	session, err := rawclient.Connect(ctx, req.broker, req.statement, func(at time.Time) { c.reportSent(req, at) })
	if err == nil {
		return session
	}
	switch {
	case req.sentAt.IsZero():
	case errors.Is(err, os.ErrDeadlineExceeded): // the login timed out at the client
		c.reportEnded(req, ClientDisconnected, "at login")
	default:
		c.reportEnded(req, ConnectionClosed, "at login: "+err.Error())
	}
	return nil
}

// receiveAnswer reads the answer to a request and reports the outcome. It returns whether the session can continue.
func (c *clientProcess) receiveAnswer(session *rawclient.Session, req *request) bool {
	return c.readAnswer(session, req, func(error) bool { return false })
}

// receiveAnswerOrClose is receiveAnswer for a request that may race with the broker's close of the connection. The
// broker owes no answer to such a request.
func (c *clientProcess) receiveAnswerOrClose(session *rawclient.Session, req *request) bool {
	return c.readAnswer(session, req, func(err error) bool {
		return time.Since(req.sentAt) <= closeRaceWindow && !errors.Is(err, os.ErrDeadlineExceeded)
	})
}

// readAnswer reads the answer to a request and reports the outcome; racedClose reports whether an error means that the
// request raced with the close of its connection.
func (c *clientProcess) readAnswer(session *rawclient.Session, req *request, racedClose func(error) bool) bool {
	answer, err := session.ReadAnswer(req.sentAt.Add(req.timeout + lateAnswerWindow))
	switch {
	case err == nil:
		outcome, detail := outcomeOfAnswer(req, answer)
		c.reportEnded(req, outcome, detail)
		return true
	case errors.Is(err, net.ErrClosed): // closed by this process at the end of the run
		c.reportEnded(req, ClientDisconnected, "end of the run")
	case racedClose(err):
		c.reportEnded(req, ClientDisconnected, "crossed")
	default:
		c.reportEnded(req, outcomeOfError(err), err.Error())
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
