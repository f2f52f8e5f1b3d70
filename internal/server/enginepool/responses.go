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
	partialResponseTimeout = 200 * time.Millisecond // from the first bytes of a response to its last
	// lateReadTimeout is the timeout of one more read after a timeout has expired. It finds data that arrived in time
	// during a process pause.
	lateReadTimeout = 10 * time.Millisecond
)

// responseReader reads the responses on a connection to an engine. It belongs to the goroutine that reads from the
// connection.
type responseReader struct {
	transport *netconn.Conn
	partial   bool // a response has begun, and its timeout is running
	lateRead  bool // the timeout has expired, and the late read is in progress
}

// readResponses posts the responses of an engine to the owner of the pool until the connection ends.
func (p *Pool) readResponses(conn *engineConn, transport *netconn.Conn) error {
	reader := responseReader{transport: transport}
	for {
		if err := reader.read(); err != nil {
			return err
		}
		responses, malformed := parseResponses(transport)
		// Complete responses are processed even if malformed data follows or the connection ends.
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

// read waits for bytes. It returns an error with reason Stalled if a response that has begun is not completed in time.
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

// setDeadline starts the timeout of a response that has begun, restarts it if other responses were completed before
// that one, and removes it if no response has begun. Without the timeout, an engine that stops in the middle of a
// response and keeps its connection open would block all streams in flight on it.
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

// parseResponses consumes the complete responses in the receive buffer, up to the first malformed one.
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
		response.Body = bytes.Clone(response.Body) // it references the receive buffer
		responses = append(responses, response)
		transport.Received.Discard(size)
	}
}

// handleResponses passes the responses received on a connection to the reducer.
func (p *Pool) handleResponses(conn *engineConn, responses []resp.Response) {
	conn.lastReceived = time.Now()
	for i := range responses {
		p.handleResponse(conn, &responses[i])
	}
}

// handleResponse passes one response to the reducer. A response to a cancelled stream or a retired id is a duplicate.
func (p *Pool) handleResponse(conn *engineConn, response *resp.Response) {
	stream := conn.streams[response.RequestID]
	if stream == nil || stream.done || stream.cancelling {
		p.observer.DuplicateResponse(conn.engine)
		return
	}
	report := resp.ParseReport(response.Load, p.config.LoadReport)
	switch {
	case stream.isProbe():
		p.endProbe(stream, response, report)
	case response.Kind == resp.OK:
		stream.responding = true
		stream.dropStatement()
		p.events.Apply(broker.FirstPageReceived{
			Attempt: stream.attemptID, PageCount: response.PageCount, Work: response.Work,
			MemoryMB: response.MemoryMB, Report: report, Body: response.Body,
		})
	case response.Kind == resp.Rows:
		p.events.Apply(broker.PageReceived{Attempt: stream.attemptID, Number: response.Page, Body: response.Body})
	default:
		p.failAttempt(stream, response, report)
	}
}

// endProbe passes the response to a load probe to the reducer.
func (p *Pool) endProbe(stream *stream, response *resp.Response, report loadreport.Report) {
	stream.done = true
	p.removeStream(stream)
	status := control.OK
	if response.Kind != resp.Up {
		status = control.Failed
	}
	p.events.Apply(broker.ProbeResult{ProbeID: stream.probeID, Status: status, Report: report})
}

// statusOf returns the status of an attempt by the kind of its response, which carries no result. VOID means NeverSent,
// because no engine ran the attempt.
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

// failAttempt passes the failure of an attempt to the reducer. The id is retired, because a duplicate of the response
// must not be mistaken for the response to a retry.
func (p *Pool) failAttempt(stream *stream, response *resp.Response, report loadreport.Report) {
	stream.done = true
	delete(p.inFlight, stream.attemptID)
	p.retireUntilClientTimeout(stream)
	p.events.Apply(broker.AttemptEnded{Attempt: stream.attemptID, Status: statusOf(response.Kind), Report: report})
}
