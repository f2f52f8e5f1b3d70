package server

import (
	"context"
	"crypto/rand"
	"fmt"

	"wheatlane/internal/broker"
	"wheatlane/internal/mysql"
	"wheatlane/internal/server/netconn"
)

// The login that the protocol prescribes.
const loginUser, loginDatabase = "app", "main"

const (
	firstPrintable  = '!'
	printableLength = '~' - '!' + 1
)

// greet sends the greeting, with a random salt of printable characters.
func (c *client) greet() error {
	var salt [20]byte
	if _, err := rand.Read(salt[:]); err != nil {
		return fmt.Errorf("salt: %w", err)
	}
	for i := range salt {
		salt[i] = salt[i]%printableLength + firstPrintable
	}
	_, err := c.conn.Write(mysql.AppendGreeting(nil, uint32(c.id), salt))
	return err
}

// login checks the answer to the greeting and passes the login on to the reducer.
func (c *client) login(ctx context.Context, seq byte, payload []byte) error {
	if seq != 1 {
		return c.failProtocol(ctx, seq+1, mysql.CodeSequence, mysql.ErrSequence)
	}
	l, err := mysql.ParseLogin(payload)
	if err != nil {
		return c.failProtocol(ctx, seq+1, mysql.CodeHandshake, err)
	}
	if l.User != loginUser || l.Password {
		denied := &netconn.EndError{Reason: netconn.AccessDenied, Err: fmt.Errorf("access denied for user %.40q", l.User)}
		return c.failProtocol(ctx, seq+1, mysql.CodeAccessDenied, denied)
	}
	if l.Database != "" && l.Database != loginDatabase {
		denied := &netconn.EndError{Reason: netconn.AccessDenied, Err: fmt.Errorf("unknown database %.40q", l.Database)}
		return c.failProtocol(ctx, seq+1, mysql.CodeUnknownDB, denied)
	}
	if _, err := c.conn.Write(mysql.AppendOK(nil, seq+1)); err != nil {
		return err
	}
	c.loggedIn = true
	c.server.post(ctx, func() { c.server.apply(broker.SessionAuthenticated{Session: c.id}) })
	return nil
}
