package main

import (
	"context"
	"io"
	"time"
)

const (
	callTimeout  = 2 * replyDue
	slowCallTime = 4 * time.Second // how long a slow caller holds a connection
)

// call sends one command and reads the reply to its end.
func call(ctx context.Context, address, command string) (string, error) {
	conn, err := dial(ctx, address)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }() // the reply has ended
	if err := conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(conn, command+"\n"); err != nil {
		return "", err
	}
	reply, err := io.ReadAll(conn)
	return string(reply), err
}

// callSlowly holds one connection after the other, on which it has sent the beginning of a command, until ctx
// ends. It ends as well once the endpoint accepts no more connections.
func callSlowly(ctx context.Context, address, beginning string) error {
	for ctx.Err() == nil {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil //nolint:nilerr // the broker is shutting down
		}
		_, _ = io.WriteString(conn, beginning) // a connection that has ended is replaced by the next
		select {
		case <-ctx.Done():
		case <-time.After(slowCallTime):
		}
		_ = conn.Close() // the endpoint may have closed it
	}
	return nil
}
