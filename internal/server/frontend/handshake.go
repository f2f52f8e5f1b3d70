package frontend

import (
	"context"
	"crypto/rand"
	"fmt"

	"wheatlane/internal/broker"
	"wheatlane/internal/mysql"
	"wheatlane/internal/server/netconn"
)

const (
	// The login credentials that the protocol specifies.
	loginUser     = "app"
	loginDatabase = "main"

	// The salt of a greeting consists of printable characters.
	firstPrintable  = '!'
	printableLength = '~' - '!' + 1
)

// greet sends the greeting, with a random salt of printable characters.
func (c *client) greet() error {
	var salt [mysql.SaltLen]byte
	if _, err := rand.Read(salt[:]); err != nil {
		return fmt.Errorf("generate salt: %w", err)
	}
	for i := range salt {
		salt[i] = salt[i]%printableLength + firstPrintable
	}
	_, err := c.conn.Write(mysql.AppendGreeting(nil, uint32(c.session), salt))
	return err
}

// login validates the client's response to the greeting and notifies the reducer of the login.
func (c *client) login(ctx context.Context, packet mysql.Packet) error {
	seq := packet.Sequence
	if seq != mysql.LoginSequence {
		return c.failProtocol(ctx, seq+1, mysql.CodePacketsOutOfOrder, mysql.ErrSequence)
	}
	login, err := mysql.ParseLogin(packet.Payload)
	if err != nil {
		return c.failProtocol(ctx, seq+1, mysql.CodeHandshakeError, err)
	}
	if login.User != loginUser || login.HasPassword {
		denied := &netconn.EndError{Reason: netconn.AccessDenied, Err: fmt.Errorf("access denied for user %.40q", login.User)}
		return c.failProtocol(ctx, seq+1, mysql.CodeAccessDenied, denied)
	}
	if login.Database != "" && login.Database != loginDatabase {
		denied := &netconn.EndError{Reason: netconn.AccessDenied, Err: fmt.Errorf("unknown database %.40q", login.Database)}
		return c.failProtocol(ctx, seq+1, mysql.CodeUnknownDatabase, denied)
	}
	if _, err := c.conn.Write(mysql.AppendOK(nil, seq+1)); err != nil {
		return err
	}
	c.loggedIn = true
	c.apply(ctx, broker.SessionAuthenticated{Session: c.session})
	return nil
}
