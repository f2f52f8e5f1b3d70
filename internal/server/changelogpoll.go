package server

import (
	"context"
	"net"
	"time"

	"github.com/cenkalti/backoff/v4"

	"wheatlane/internal/broker"
	"wheatlane/internal/changelog"
	"wheatlane/internal/server/clock"
	"wheatlane/internal/server/netconn"
)

const (
	pollTimeout              = time.Second // of a long poll; short, so that a log gone silent is soon noticed
	pollGrace                = 400 * time.Millisecond
	partialPageTimeout       = 400 * time.Millisecond // an answer that has begun is complete by then
	changelogConnectTimeout  = 500 * time.Millisecond
	maxChangelogReceiveBytes = changelog.MaxBody + 64<<10
	maxChangelogSendBytes    = 4 << 10
)

// changelogPoll polls the change log on one connection.
type changelogPoll struct {
	server   *Server
	addr     string
	conn     *netconn.Conn
	waits    *pollWaits
	revision *int64                      // of the last page that the reducer was given
	pause    *backoff.ExponentialBackOff // between polls that were answered early with nothing new
}

// poll polls on one connection until that ends, and advances revision with each page that the reducer was
// given.
func (s *Server) poll(ctx context.Context, addr string, revision *int64, waits *pollWaits) error {
	socket, err := (&net.Dialer{Timeout: waits.current().connect}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return &netconn.EndError{Reason: netconn.ConnectFailed, Err: err}
	}
	p := &changelogPoll{
		server: s, addr: addr, waits: waits, revision: revision, pause: newPollBackoff(),
		conn: netconn.New(socket, netconn.Options{
			MaxReceiveBytes: maxChangelogReceiveBytes, MaxSendBytes: maxChangelogSendBytes,
		}),
	}
	return p.conn.Run(ctx, p.run)
}

func (p *changelogPoll) run(ctx context.Context) error {
	for {
		if err := p.pollOnce(ctx); err != nil {
			return err
		}
	}
}

// pollOnce sends a poll and gives the reducer what it is answered.
func (p *changelogPoll) pollOnce(ctx context.Context) error {
	sentAt := time.Now()
	if err := p.send(); err != nil {
		return err
	}
	response, err := p.receive()
	if err != nil {
		return err
	}
	p.waits.answered()
	page, err := changelog.ParsePage(response.Body)
	if err == nil && page.Revision < *p.revision {
		err = &revisionError{page.Revision, *p.revision}
	}
	if err != nil {
		return &netconn.EndError{Reason: netconn.Malformed, Err: err}
	}
	if err := p.pace(ctx, page, sentAt); err != nil {
		return err
	}
	// The revision stays where the poll ends before the reducer has the page, so that it is polled again.
	event := broker.EndpointChanges{Page: page, WallOffset: clock.WallOffset()}
	if page.Revision > *p.revision && p.server.post(ctx, func() { p.server.apply(event) }) {
		*p.revision = page.Revision
	}
	if response.Close {
		return &netconn.EndError{Reason: netconn.PeerClosed}
	}
	return nil
}

func (p *changelogPoll) send() error {
	p.server.endpointPolls.Add(1)
	if _, err := p.conn.Write(changelog.Request(p.addr, *p.revision, pollTimeout)); err != nil {
		return err
	}
	return p.conn.SetReadDeadline(time.Now().Add(pollTimeout + p.waits.current().grace))
}

// receive reads one response. From its first bytes on it has partialPageTimeout: what a change log that
// stops in the middle of an event would have said counts as published.
func (p *changelogPoll) receive() (changelog.Response, error) {
	begun := false
	for {
		if err := p.conn.ReadOnce(); err != nil {
			switch {
			case netconn.IsTimeout(err) && begun:
				return changelog.Response{}, &netconn.EndError{Reason: netconn.Stalled, Err: err}
			case netconn.IsTimeout(err):
				return changelog.Response{}, &netconn.EndError{Reason: netconn.PollTimeout, Err: err}
			}
			return changelog.Response{}, err
		}
		response, size, err := changelog.ParseResponse(p.conn.Received.Bytes())
		if err != nil {
			return changelog.Response{}, err
		}
		if size > 0 {
			p.conn.Received.Discard(size)
			return response, nil
		}
		if !begun {
			begun = true
			if err := p.conn.SetReadDeadline(time.Now().Add(p.waits.current().partial)); err != nil {
				return changelog.Response{}, err
			}
		}
	}
}

// pace waits after an answer that came early with nothing new: polled again on and on, such a change log
// would take the broker's core and its own.
func (p *changelogPoll) pace(ctx context.Context, page changelog.Page, sentAt time.Time) error {
	if page.Revision > *p.revision || time.Since(sentAt) >= pollTimeout/2 {
		p.pause.Reset()
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(p.pause.NextBackOff()):
		return nil
	}
}
