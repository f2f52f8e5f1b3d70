package client

import (
	"context"
	"database/sql/driver"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/go-sql-driver/mysql"
)

// The login that brokers accept.
const (
	user     = "app"
	database = "main"
)

var errNoQueries = errors.New("client emulator: the driver's connection does not support queries")

// query sends a statement on an idle connection or a new one and returns the rows in the engines' format. It calls sent
// just before it sends the statement.
func (l *LoadGenerator) query(ctx context.Context, statement string, sent func()) (string, error) {
	conn, err := l.idleOrNewConn(ctx)
	if err != nil {
		return "", err
	}
	sent()
	rows, err := queryRows(ctx, conn, statement)
	if _, answered := errors.AsType[*mysql.MySQLError](err); err == nil || answered {
		l.pushIdle(conn)
	} else {
		_ = conn.Close() // the connection has failed already
	}
	return rows, err
}

func queryRows(ctx context.Context, conn driver.Conn, statement string) (string, error) {
	queryer, ok := conn.(driver.QueryerContext)
	if !ok {
		return "", errNoQueries
	}
	rows, err := queryer.QueryContext(ctx, statement, nil)
	if err != nil {
		return "", err
	}
	return readRows(rows)
}

// idleOrNewConn returns the most recently used idle connection, as the broker may have closed older ones, or a new one.
func (l *LoadGenerator) idleOrNewConn(ctx context.Context) (driver.Conn, error) {
	for conn := l.popIdle(); conn != nil; conn = l.popIdle() {
		if r, ok := conn.(driver.SessionResetter); ok && r.ResetSession(ctx) == nil {
			return conn, nil
		}
		_ = conn.Close() // the broker has closed it
	}
	cfg := mysql.NewConfig()
	cfg.User, cfg.Net, cfg.Addr, cfg.DBName = user, "tcp", l.cfg.Addr, database
	cfg.Logger = &mysql.NopLogger{}
	connector, err := mysql.NewConnector(cfg)
	if err != nil {
		return nil, fmt.Errorf("create connector: %w", err)
	}
	return connector.Connect(ctx)
}

// popIdle removes and returns the most recently used idle connection, nil if there is none.
func (l *LoadGenerator) popIdle() driver.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.idle) == 0 {
		return nil
	}
	conn := l.idle[len(l.idle)-1]
	l.idle = l.idle[:len(l.idle)-1]
	return conn
}

func (l *LoadGenerator) pushIdle(conn driver.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle = append(l.idle, conn)
}

func (l *LoadGenerator) closeIdle() {
	for conn := l.popIdle(); conn != nil; conn = l.popIdle() {
		_ = conn.Close() // unused from now on
	}
}

// readRows returns rows in the engines' format: tabs between values, a line each.
func readRows(rows driver.Rows) (string, error) {
	defer func() { _ = rows.Close() }() // a truncated result fails in Next
	var b strings.Builder
	row := make([]driver.Value, len(rows.Columns()))
	for {
		switch err := rows.Next(row); {
		case errors.Is(err, io.EOF):
			return b.String(), nil
		case err != nil:
			return "", err
		}
		for i, v := range row {
			if i > 0 {
				b.WriteByte('\t')
			}
			text, _ := v.([]byte)
			b.Write(text)
		}
		b.WriteByte('\n')
	}
}
