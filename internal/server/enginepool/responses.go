package enginepool

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
	lateReadTimeout        = 10 * time.Millisecond  // one more read, for what came while the process stood still
)

// responseReader reads the responses on a connection to an engine. The goroutine that reads the connection
// owns it.
type responseReader struct {
	transport *netconn.Conn
	partial   bool // a response has begun, and its timeout runs
	lateRead  bool // the timeout has passed, and the late read is under way
}

// readResponses posts the responses of an engine to the owner of the pool until the connection ends.
func (p *Pool) readResponses(conn *engineConn, transport *netconn.Conn) error {
	reader := responseReader{transport: transport}
	for {
		if err := reader.read(); err != nil {
			return err
		}
		responses, malformed := parseResponses(transport)
		// Complete responses count, whatever follows them or ends the connection meanwhile.
		if len(responses) > 0 {
			p.loop.Post(func() { p.handleResponses(conn, responses) })
		}
		if malformed != nil {
			return malformed
		}
		if err := reader.setDeadline(len(responses)); err != nil {
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
		case r.lateRead:
			return &netconn.EndError{Reason: netconn.Stalled, Err: err}
		}
		r.lateRead = true
		if err := r.transport.SetReadDeadline(time.Now().Add(lateReadTimeout)); err != nil {
			return err
		}
	}
}

// setDeadline starts the timeout of a response that has begun, anew where some were completed before it, and ends it
// where none has begun. An engine that stops in the middle and leaves its connection open would otherwise hold all that
// is in flight there.
func (r *responseReader) setDeadline(completed int) error {
	partial := r.transport.Received.Len() > 0
	var err error
	switch {
	case !partial && r.partial:
		err = r.transport.SetReadDeadline(time.Time{})
	case partial && (!r.partial || completed > 0):
		err = r.transport.SetReadDeadline(time.Now().Add(partialResponseTimeout))
	}
	r.partial, r.lateRead = partial, r.lateRead && completed == 0
	return err
}

// parseResponses consumes the complete responses in the receive buffer, up to one that is malformed.
func parseResponses(transport *netconn.Conn) ([]resp.Response, error) {
	var responses []resp.Response
	for {
		parts, size, err := resp.Parse(transport.Received.Bytes())
		if err != nil || size == 0 {
			return responses, err
		}
		response, err := resp.ParseResponse(parts)
		if err != nil {
			return responses, err
		}
		response.Body = bytes.Clone(response.Body) // it points into the buffer
		responses = append(responses, response)
		transport.Received.Discard(size)
	}
}

// handleResponses passes the responses that came on a connection to the reducer.
func (p *Pool) handleResponses(conn *engineConn, responses []resp.Response) {
	conn.lastReceived = time.Now()
	for i := range responses {
		p.handleResponse(conn, &responses[i])
	}
}

// handleResponse passes one response to the reducer. Cancelled streams and retired ids are owed none.
func (p *Pool) handleResponse(conn *engineConn, response *resp.Response) {
	stream := conn.streams[response.RequestID]
	if stream == nil || stream.done || stream.cancelling {
		p.observer.DuplicateResponse(conn.engine)
		return
	}
	report := resp.Report(response.Load, p.config.LoadReport)
	switch {
	case stream.isProbe():
		p.probeAnswered(stream, response, report)
	case response.Kind == resp.OK:
		stream.responding = true
		p.events.Apply(broker.FirstPageReceived{
			Attempt: stream.attemptID, PageCount: response.PageCount, Work: response.Work,
			MemoryMB: response.MemoryMB, Report: report, Body: response.Body,
		})
	case response.Kind == resp.Rows:
		p.events.Apply(broker.PageReceived{Attempt: stream.attemptID, Number: response.Page, Body: response.Body})
	default:
		p.attemptFailed(stream, response, report)
	}
}

// probeAnswered passes the answer to a load probe to the reducer.
func (p *Pool) probeAnswered(stream *stream, response *resp.Response, report loadreport.Report) {
	stream.done = true
	p.removeStream(stream)
	status := control.OK
	if response.Kind != resp.Up {
		status = control.Failed
	}
	p.events.Apply(broker.ProbeResult{ProbeID: stream.probeID, Status: status, Report: report})
}

// statusOf returns what the kind of a response without a result proves of its attempt. VOID is NeverSent, as no engine
// ran the attempt.
func statusOf(kind resp.Kind) control.Status {
	switch kind {
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
func (p *Pool) attemptFailed(stream *stream, response *resp.Response, report loadreport.Report) {
	stream.done = true
	delete(p.inFlight, stream.attemptID)
	p.retireUntilClientTimeout(stream)
	p.events.Apply(broker.AttemptEnded{Attempt: stream.attemptID, Status: statusOf(response.Kind), Report: report})
}
