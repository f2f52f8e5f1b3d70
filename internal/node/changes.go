package node

import (
	"context"
	"net"
	"time"

	"wheatlane/internal/broker"
	"wheatlane/internal/changelog"
)

const (
	pollWait    = time.Second // a poll is answered by then; short, so that a log gone silent is soon noticed
	pollSlack   = 400 * time.Millisecond
	logConnect  = 500 * time.Millisecond
	firstPause  = 20 * time.Millisecond
	longPause   = 500 * time.Millisecond
	mostPending = changelog.MostBody + 64<<10
)

// follow keeps a long poll at the change log. The first try after a loss comes at once.
func (n *Node) follow(ctx context.Context, since int64) error {
	pause := time.Duration(0)
	for ctx.Err() == nil {
		began, before := time.Now(), since
		err := n.poll(ctx, &since)
		n.ended("changelog", n.cfg.Changelog, began, err)
		if since > before || time.Since(began) > pollWait {
			pause = 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(longPause, max(firstPause, 2*pause))
	}
	return ctx.Err()
}

// poll polls on one connection until that ends, and moves since on.
func (n *Node) poll(ctx context.Context, since *int64) error {
	nc, err := (&net.Dialer{Timeout: logConnect}).DialContext(ctx, "tcp", n.cfg.Changelog)
	if err != nil {
		return &ended{ConnectFailed, err}
	}
	l := newLink(nc, 0, mostPending, 4<<10)
	return l.run(ctx, func(ctx context.Context) error {
		for {
			if _, err := l.write(changelog.Request(n.cfg.Changelog, *since, pollWait)); err != nil {
				return err
			}
			if err := nc.SetReadDeadline(time.Now().Add(pollWait + pollSlack)); err != nil {
				return err
			}
			var r changelog.Response
			for size := 0; size == 0; {
				if _, err := l.in.ReadOnce(nc); err != nil {
					if isTimeout(err) {
						return &ended{Silent, err}
					}
					return err
				}
				if r, size, err = changelog.ParseResponse(l.in.Bytes()); err != nil {
					return err
				}
				l.in.Discard(size)
			}
			page, err := changelog.ParsePage(r.Body)
			if err != nil {
				return &ended{Malformed, err}
			}
			if page.Seq > *since {
				*since = page.Seq
				n.post(ctx, func() { n.apply(broker.Changes{Page: page}) })
			}
			if r.Close {
				return &ended{Reason: PeerClosed}
			}
		}
	})
}
