package main

import (
	"context"
	"io"
	"time"
)

const (
	callTimeout  = 2 * replyDue
	slowCallTime = 4 * time.Second // time for which a slow caller holds a connection
)

// call sends one command and reads the reply until the endpoint closes the connection.
func call(ctx context.Context, address, command string) (string, error) {
	conn, err := dial(ctx, address)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }() // the reply has been read
	if err := conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(conn, command+"\n"); err != nil {
		return "", err
	}
	reply, err := io.ReadAll(conn)
	return string(reply), err
}

// callSlowly opens one connection after the other, sends the beginning of a command and holds the connection, until ctx
// ends or the endpoint accepts no more connections.
func callSlowly(ctx context.Context, address, beginning string) error {
	for ctx.Err() == nil {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil //nolint:nilerr // the broker is shutting down
		}
		_, _ = io.WriteString(conn, beginning) // an error is ignored, as the next connection follows
		select {
		case <-ctx.Done():
		case <-time.After(slowCallTime):
		}
		_ = conn.Close() // the endpoint may have closed it
	}
	return nil
}
