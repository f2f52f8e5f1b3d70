package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatlane/internal/emulator/client"
	"wheatlane/internal/emulator/cluster"
	"wheatlane/internal/emulator/conformance"
	"wheatlane/internal/emulator/pacing"
	"wheatlane/internal/emulator/rawclient"
)

const (
	maxClients   = 60                      // concurrent clients
	maxWait      = 1500 * time.Millisecond // upper bound of the time until a client disconnects
	meanInterval = 20 * time.Millisecond   // between clients
	keyInterval  = 260 * time.Millisecond  // minimum interval that clients keep between requests of one order key
	keyCount     = 4
	dataSetCount = 24
	clientStream = 2 // of the seed's random numbers
)

// disconnectingClients runs clients that disconnect before their answers, and clients that are idle until the broker
// closes their connections.
type disconnectingClients struct {
	address string
	checker *conformance.Checker
	classes []client.Class

	source   *pacing.Source
	keys     *pacing.KeyPacer
	requests atomic.Uint32
}

func newDisconnectingClients(
	address string, seed uint64, checker *conformance.Checker,
) *disconnectingClients {
	c := &disconnectingClients{
		address: address,
		checker: checker,
		source:  pacing.NewSource(seed, clientStream),
		keys:    pacing.NewKeyPacer(keyCount, keyInterval),
	}
	for i, timeout := range []time.Duration{2 * time.Second, 20 * time.Second, 25 * time.Second} {
		c.classes = append(c.classes, client.Class{Engine: cluster.Classes[i], Timeout: timeout})
	}
	return c
}

// newRequestID returns a unique request id.
func (c *disconnectingClients) newRequestID() string {
	return fmt.Sprintf("cccc%012x", c.requests.Add(1))
}

// run starts clients at random times until ctx ends.
func (c *disconnectingClients) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxClients)
	for ctx.Err() == nil {
		g.Go(func() error {
			c.sendAndDisconnect(ctx)
			return nil
		})
		pacing.Pause(ctx, c.source.Duration(2*meanInterval))
	}
	return g.Wait()
}

// sendAndDisconnect sends one request and disconnects if no answer arrives within a random time. Connection errors are
// not violations, as the broker may be shutting down.
func (c *disconnectingClients) sendAndDisconnect(ctx context.Context) {
	class := c.classes[[]int{0, 0, 1, 2, 2, 2}[c.source.IntN(6)]]
	key := ""
	if class.Engine.HoldsDataSetLock {
		key = c.reserveKey(ctx)
		if ctx.Err() != nil {
			return
		}
	}
	id := c.newRequestID()
	statement := class.Statement(id, cluster.Tenants[c.source.IntN(2)], "op"+id, key, c.source.IntN(dataSetCount), false)
	session, err := rawclient.Connect(ctx, c.address, statement, func(at time.Time) {
		c.checker.RequestSent(conformance.Request{
			ID:       id,
			Class:    class.Engine.Name,
			OrderKey: key,
			SentAt:   at,
			Timeout:  class.Timeout,
		})
	})
	if err != nil {
		return // the broker accepts no more connections
	}
	defer session.Close()
	answer, err := session.ReadPacketFor(c.source.Duration(maxWait))
	switch {
	case err == nil:
		c.checker.RequestEnded(id, outcomeOf(answer), time.Now())
	case errors.Is(err, os.ErrDeadlineExceeded):
		by := rawclient.DisconnectMethod(c.source.IntN(rawclient.DisconnectMethodCount))
		session.Disconnect(ctx, c.address, by, func(rawclient.DisconnectMethod) {
			c.checker.RequestEnded(id, conformance.ClientDisconnected, time.Now())
		})
	default:
		c.checker.RequestEnded(id, conformance.Unanswered, time.Now())
	}
}

// reserveKey draws an order key and waits until its next request may be sent.
func (c *disconnectingClients) reserveKey(ctx context.Context) string {
	return fmt.Sprintf("%016x", c.keys.WaitForRandomKey(ctx, c.source)+1)
}

// idleClients is the number of clients that are idle until the broker closes their connections.
const idleClients = 20

// startIdle connects clients that receive one answer and are idle afterwards. Once the broker has shut down its
// connection, each client passes the id of a new request to sentLate and sends the request. The returned function waits
// for the clients.
func (c *disconnectingClients) startIdle(
	ctx context.Context, sentLate func(requestID string),
) (wait func() error) {
	var g errgroup.Group
	var ready sync.WaitGroup
	for range idleClients {
		ready.Add(1)
		g.Go(func() error {
			session, err := c.connectIdle(ctx)
			ready.Done()
			if err != nil {
				return fmt.Errorf("connect idle client: %w", err)
			}
			defer session.Close()
			stop := context.AfterFunc(ctx, session.Close)
			defer stop()
			c.sendAfterShutdown(session, sentLate)
			return nil
		})
	}
	ready.Wait()
	return g.Wait
}

// connectIdle connects a client and waits for its first answer. The statement has no request fields, so that the broker
// answers it immediately and forwards nothing.
func (c *disconnectingClients) connectIdle(ctx context.Context) (*rawclient.Session, error) {
	session, err := rawclient.Connect(ctx, c.address, "PING", func(time.Time) {})
	if err != nil {
		return nil, err
	}
	if _, err := session.ReadPacket(); err != nil {
		session.Close()
		return nil, err
	}
	return session, nil
}

// sendAfterShutdown waits until the broker shuts down a connection, and then sends a request on it.
func (c *disconnectingClients) sendAfterShutdown(session *rawclient.Session, sentLate func(requestID string)) {
	if !session.WaitForShutdown() {
		return // the connection was reset, or closed at the end of the run
	}
	class := c.classes[0]
	id := c.newRequestID()
	sentLate(id)
	c.checker.RequestSent(conformance.Request{
		ID:      id,
		Class:   class.Engine.Name,
		SentAt:  time.Now(),
		Timeout: class.Timeout,
	})
	// The broker owes no answer to a request that races with the close of its connection.
	c.checker.RequestEnded(id, conformance.ClientDisconnected, time.Now())
	session.SendAfterShutdown(class.Statement(id, cluster.Tenants[0], "op"+id, "", 0, false))
}

// outcomeOf returns the outcome for the first packet of an answer. It does not compare rows with those of the engines;
// the clients of the load do.
func outcomeOf(answer []byte) conformance.Outcome {
	code := rawclient.ErrorCode(answer)
	switch {
	case code == 0:
		return conformance.Served
	case rawclient.Answer{ErrorCode: code}.Rejected():
		return conformance.Rejected
	}
	return conformance.Failed
}
