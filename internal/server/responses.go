package server

import (
	"bytes"
	"time"

	"wheatlane/control"
	"wheatlane/control/loadreport"
	"wheatlane/internal/broker"
	"wheatlane/internal/resp"
	"wheatlane/internal/server/netconn"
)

const (
	partialResponseTimeout = 200 * time.Millisecond // a response that has begun is complete by then
	finalReadWait          = 10 * time.Millisecond  // for what came while the process stood still
)

// responseReader reads the responses on a connection to an engine. The goroutine that reads the connection
// owns it.
type responseReader struct {
	transport *netconn.Conn
	partial   bool // a response has begun, and its timeout runs
	finalRead bool // the timeout has passed, and what came meanwhile is read
}

// readResponses posts the responses of an engine to the owner of the pool until the connection ends.
func (p *enginePool) readResponses(c *engineConn, transport *netconn.Conn) error {
	r := responseReader{transport: transport}
	for {
		if err := r.read(); err != nil {
			return err
		}
		responses, malformed := parseResponses(transport)
		// Complete responses count, whatever follows them or ends the connection meanwhile.
		if len(responses) > 0 {
			p.post(func() { p.handleResponses(c, responses) })
		}
		if malformed != nil {
			return malformed
		}
		if err := r.setDeadline(len(responses)); err != nil {
			return err
		}
	}
}

// read waits for bytes. It fails if a response that has begun is not completed in time.
func (r *responseReader) read() error {
	for {
		err := r.transport.ReadOnce()
		switch {
		case err == nil:
			return nil
		case !netconn.IsTimeout(err):
			return err
		case r.finalRead:
			return &netconn.EndError{Reason: netconn.Stalled, Err: err}
		}
		r.finalRead = true
		if err := r.transport.SetReadDeadline(time.Now().Add(finalReadWait)); err != nil {
			return err
		}
	}
}

// setDeadline starts the timeout of a response that has begun, once some were completed before it. Without
// it all that is in flight would wait for nothing on a connection whose engine stops in the middle and
// leaves it open.
func (r *responseReader) setDeadline(completed int) error {
	partial := r.transport.Received.Len() > 0
	var err error
	switch {
	case !partial && r.partial:
		err = r.transport.SetReadDeadline(time.Time{})
	case partial && (!r.partial || completed > 0):
		err = r.transport.SetReadDeadline(time.Now().Add(partialResponseTimeout))
	}
	r.partial, r.finalRead = partial, r.finalRead && completed == 0
	return err
}

// parseResponses consumes the complete responses in the receive buffer, up to one that is malformed.
func parseResponses(transport *netconn.Conn) ([]resp.Answer, error) {
	var responses []resp.Answer
	for {
		parts, size, err := resp.Parse(transport.Received.Bytes())
		if err != nil || size == 0 {
			return responses, err
		}
		response, err := resp.ParseAnswer(parts)
		if err != nil {
			return responses, err
		}
		response.Body = bytes.Clone(response.Body) // it points into the buffer
		responses = append(responses, response)
		transport.Received.Discard(size)
	}
}

// handleResponses passes the responses that came on a connection to the reducer.
func (p *enginePool) handleResponses(c *engineConn, responses []resp.Answer) {
	c.lastReceived = time.Now()
	for i := range responses {
		p.handleResponse(c, &responses[i])
	}
}

// handleResponse passes one response to the reducer. Cancelled streams and retired ids are owed none.
func (p *enginePool) handleResponse(c *engineConn, r *resp.Answer) {
	s := c.streams[r.RequestID]
	if s == nil || s.done || s.cancelling {
		p.server.meter.DuplicateResponse(c.engine)
		return
	}
	report := resp.Report(r.Load, p.server.cfg.Settings.LoadReport)
	switch {
	case s.isProbe():
		p.probeAnswered(s, r, report)
	case r.Word == resp.OK:
		s.responding = true
		p.server.apply(broker.AttemptServed{
			Attempt: s.attemptID, PageCount: r.PageCount, Work: time.Duration(r.WorkMS * float64(time.Millisecond)),
			MemoryMB: r.MemoryMB, Report: report, Body: r.Body,
		})
	case r.Word == resp.Rows:
		p.server.apply(broker.PageReceived{Attempt: s.attemptID, Number: r.Page, Body: r.Body})
	default:
		p.attemptFailed(s, r, report)
	}
}

// probeAnswered passes the answer to a load probe to the reducer.
func (p *enginePool) probeAnswered(s *stream, r *resp.Answer, report loadreport.Report) {
	s.done = true
	p.removeStream(s)
	status := control.OK
	if r.Word != resp.Up {
		status = control.Failed
	}
	p.server.apply(broker.ProbeResult{ProbeID: s.probeID, Status: status, Report: report})
}

// statusOf is what the word of a response without a result proves of its attempt.
func statusOf(word resp.Word) control.Status {
	switch word {
	case resp.Busy:
		return control.AtCapacity
	case resp.Void:
		return control.NeverSent
	case resp.Err, resp.Down, resp.Up, resp.OK, resp.Rows:
		return control.Failed
	}
	return control.Failed
}

// attemptFailed passes the failure of an attempt to the reducer. A duplicate of the response must not be
// mistaken for the response to a retry, so the id is retired.
func (p *enginePool) attemptFailed(s *stream, r *resp.Answer, report loadreport.Report) {
	s.done = true
	delete(p.inFlight, s.attemptID)
	p.retireUntilClientTimeout(s)
	p.server.apply(broker.AttemptEnded{Attempt: s.attemptID, Status: statusOf(r.Word), Report: report})
}
