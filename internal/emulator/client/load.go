// Package client plays the clients of a broker: a steady, bounded load of requests over the MySQL protocol, through the
// driver that Go programs use, with answers checked against what engines make.
package client

import (
	"context"
	"crypto/md5" //nolint:gosec // names, not secrets
	"database/sql/driver"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-sql-driver/mysql"
	"golang.org/x/sync/errgroup"

	"wheatlane/internal/emulator/conformance"
	"wheatlane/internal/emulator/engine"
)

// Class is a class of requests as clients send it.
type Class struct {
	Engine           engine.Class
	Rate             float64       // a second
	LatencyObjective time.Duration // answers after it are late
	Timeout          time.Duration // then the client stops waiting
	Keys             int           // order keys in use; 0: the class keeps no order
}

// Config is a load.
type Config struct {
	Addr     string
	Classes  []Class
	Tenants  []string
	DataSets int
	Seed     uint64
	MaxOpen  int // requests at a time; more are not sent, and counted
	Retries  int // of a request that was refused, after the time that the refusal names
	// OnEnd, if there is one, is told of each request as it ends.
	OnEnd func(class string, out conformance.Outcome, took time.Duration)
}

// Tally is what became of requests.
type Tally struct {
	Sent, InTime, Late, Rejected, Failed, ClientLeft, Unanswered, WrongAnswers, Held int
	Worst                                                                            time.Duration // of those served
}

// Load sends requests.
type Load struct {
	cfg   Config
	judge *conformance.Checker

	mu    sync.Mutex
	rng   *rand.Rand
	idle  []driver.Conn
	tally map[string]*Tally // by class
	keys  map[string]*sync.Mutex
	count uint64
	slots chan struct{}
}

// spacing is kept between writes of one key, as clients keep it after a new connection.
const spacing = 250 * time.Millisecond

// New returns a load; judge may be nil.
func New(cfg Config, judge *conformance.Checker) *Load {
	l := &Load{cfg: cfg, judge: judge, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), tally: map[string]*Tally{},
		keys: map[string]*sync.Mutex{}, slots: make(chan struct{}, max(1, cfg.MaxOpen))}
	for _, c := range cfg.Classes {
		l.tally[c.Engine.Name] = &Tally{}
		for k := range c.Keys {
			l.keys[c.key(k)] = &sync.Mutex{}
		}
	}
	return l
}

func (c *Class) key(n int) string {
	sum := md5.Sum(fmt.Appendf(nil, "%s %d", c.Engine.Name, n)) //nolint:gosec // see above
	return fmt.Sprintf("%x", sum[:8])
}

// Tally returns what became of requests of each class since the last call.
func (l *Load) Tally() map[string]Tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]Tally{}
	for name, t := range l.tally {
		out[name] = *t
		*t = Tally{}
	}
	return out
}

// Run sends requests until ctx ends, and lets those that are open come to their end.
func (l *Load) Run(ctx context.Context) error {
	var g errgroup.Group
	var open sync.WaitGroup
	for _, c := range l.cfg.Classes {
		g.Go(func() error {
			for {
				l.mu.Lock()
				gap := time.Duration(l.rng.ExpFloat64() / c.Rate * float64(time.Second))
				l.mu.Unlock()
				select {
				case <-ctx.Done():
					return nil
				case <-time.After(gap):
				}
				select {
				case l.slots <- struct{}{}:
				default:
					l.add(c.Engine.Name, func(t *Tally) { t.Held++ })
					continue
				}
				open.Add(1)
				go func() { // ends with its request, which has its time
					defer open.Done()
					defer func() { <-l.slots }()
					l.request(ctx, &c)
				}()
			}
		})
	}
	err := g.Wait()
	open.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.idle {
		c.Close()
	}
	l.idle = nil
	return err
}

func (l *Load) add(class string, f func(*Tally)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.tally[class])
}

// request asks, and asks again after a refusal that says when.
func (l *Load) request(ctx context.Context, c *Class) {
	l.mu.Lock()
	set, tenant := l.rng.IntN(max(1, l.cfg.DataSets)), l.cfg.Tenants[l.rng.IntN(len(l.cfg.Tenants))]
	op := fmt.Sprintf("%016x%016x", l.rng.Uint64(), l.rng.Uint64())
	key := ""
	if c.Keys > 0 {
		key = c.key(l.rng.IntN(c.Keys))
	}
	l.mu.Unlock()
	if key != "" { // one of a key at a time, as an office sends its soundings
		l.keys[key].Lock()
		defer l.keys[key].Unlock()
		defer time.Sleep(spacing)
	}
	for try := 0; ; try++ {
		out, cooldown := l.ask(c, ask{set: set, tenant: tenant, op: op, key: key, again: try > 0})
		if out != conformance.Rejected || cooldown <= 0 || try >= l.cfg.Retries {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(cooldown):
		}
	}
}

type ask struct {
	set             int
	tenant, op, key string
	again           bool
}

func (l *Load) ref() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	return fmt.Sprintf("%08x%08x", uint32(l.rng.Uint64()), uint32(l.count))
}

// Text is the statement of a request, with its fields.
func (c *Class) Text(ref, tenant, op, key string, set int, again bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "/* service=%s,ref=%s,allow=%d,project=%s,replay=%s,effort=%.1f,ram=%d", c.Engine.Name, ref, c.Timeout.Milliseconds(),
		tenant, op, float64(c.Engine.Cost(ref))/float64(time.Millisecond), 16*c.Engine.Threads)
	if key != "" {
		fmt.Fprintf(&b, ",lookup=%s", key)
	}
	if again {
		b.WriteString(",dup=1")
	}
	fmt.Fprintf(&b, " */ SELECT at, depth, note FROM chart_%d.soundings WHERE leg = '%s'", set, ref)
	return b.String()
}

var cooldown = regexp.MustCompile(`cooldown=([0-9]+)`)

// ask sends one request on a connection of its own and judges the answer.
func (l *Load) ask(c *Class, a ask) (conformance.Outcome, time.Duration) {
	ref := l.ref()
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	rows, err := l.query(ctx, c.Text(ref, a.tenant, a.op, a.key, a.set, a.again), func() {
		began = time.Now()
		if l.judge != nil {
			l.judge.RequestSent(conformance.Request{ID: ref, Class: c.Engine.Name, Key: a.key, SentAt: began, Timeout: c.Timeout})
		}
	})
	took := time.Since(began)
	out, wait := conformance.Served, time.Duration(0)
	var wrong *mysql.MySQLError
	switch {
	case err == nil && rows != strings.Join(c.Engine.Result(ref), ""):
		out = conformance.WrongAnswer
	case err == nil:
	case errors.As(err, &wrong) && (wrong.Number == 1040 || wrong.Number == 1203 || wrong.Number == 1226):
		out = conformance.Rejected
		if m := cooldown.FindStringSubmatch(wrong.Message); m != nil {
			ms, _ := strconv.Atoi(m[1]) // digits, as matched
			wait = time.Duration(ms) * time.Millisecond
		}
	case errors.As(err, &wrong):
		out = conformance.Failed
	case ctx.Err() != nil:
		out = conformance.ClientLeft
	default:
		out = conformance.Unanswered
	}
	if l.judge != nil {
		l.judge.RequestEnded(ref, out, time.Now())
	}
	if l.cfg.OnEnd != nil {
		l.cfg.OnEnd(c.Engine.Name, out, took)
	}
	l.add(c.Engine.Name, func(t *Tally) {
		t.Sent++
		switch out {
		case conformance.Served:
			if took <= c.LatencyObjective {
				t.InTime++
			} else {
				t.Late++
			}
			t.Worst = max(t.Worst, took)
		case conformance.Rejected:
			t.Rejected++
		case conformance.Failed:
			t.Failed++
		case conformance.ClientLeft:
			t.ClientLeft++
		case conformance.Unanswered:
			t.Unanswered++
		case conformance.WrongAnswer:
			t.WrongAnswers++
		}
	})
	return out, wait
}

// query asks on an idle connection or a new one and returns the rows as engines write them.
func (l *Load) query(ctx context.Context, text string, sent func()) (string, error) {
	c, err := l.conn(ctx)
	if err != nil {
		return "", err
	}
	sent()
	rows, err := c.(driver.QueryerContext).QueryContext(ctx, text, nil)
	if err == nil {
		var out string
		if out, err = read(rows); err == nil {
			l.mu.Lock()
			l.idle = append(l.idle, c)
			l.mu.Unlock()
			return out, nil
		}
	}
	var answered *mysql.MySQLError
	if errors.As(err, &answered) {
		l.mu.Lock()
		l.idle = append(l.idle, c)
		l.mu.Unlock()
	} else {
		c.Close()
	}
	return "", err
}

// conn is the connection that was used last, as others may be closed by now, or a new one.
func (l *Load) conn(ctx context.Context) (driver.Conn, error) {
	for {
		l.mu.Lock()
		if len(l.idle) == 0 {
			l.mu.Unlock()
			break
		}
		c := l.idle[len(l.idle)-1]
		l.idle = l.idle[:len(l.idle)-1]
		l.mu.Unlock()
		if v, ok := c.(driver.SessionResetter); ok && v.ResetSession(ctx) == nil {
			return c, nil
		}
		c.Close()
	}
	cfg := mysql.NewConfig()
	cfg.User, cfg.Net, cfg.Addr, cfg.DBName = "app", "tcp", l.cfg.Addr, "main"
	cfg.Logger = &mysql.NopLogger{}
	connector, err := mysql.NewConnector(cfg)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	return connector.Connect(ctx)
}

func read(rows driver.Rows) (string, error) {
	defer rows.Close()
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
