package client

import (
	"context"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/go-sql-driver/mysql"

	"wheatlane/internal/emulator/conformance"
)

const memoryPerThreadMB = 16 // memory estimate of a request

// Error codes of rejections after which the request may be retried.
const (
	codeTooManyConnections     = 1040
	codeTooManyUserConnections = 1203
	codeUserLimitReached       = 1226
)

// request holds the fields that all attempts of one request share.
type request struct {
	dataSet                          int
	tenant, idempotencyKey, orderKey string
}

func (l *LoadGenerator) randomRequest(c *Class) request {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := request{
		dataSet:        l.rng.IntN(max(1, l.cfg.DataSets)),
		tenant:         l.cfg.Tenants[l.rng.IntN(len(l.cfg.Tenants))],
		idempotencyKey: fmt.Sprintf("%016x%016x", l.rng.Uint64(), l.rng.Uint64()),
	}
	if c.OrderKeys > 0 {
		r.orderKey = c.orderKey(l.rng.IntN(c.OrderKeys))
	}
	return r
}

// runRequest sends a request, and retries it after each rejection that specifies a time.
func (l *LoadGenerator) runRequest(ctx context.Context, c *Class) {
	r := l.randomRequest(c)
	if r.orderKey != "" { // clients send the requests of one key one at a time
		l.keyLocks[r.orderKey].Lock()
		defer l.keyLocks[r.orderKey].Unlock()
		defer time.Sleep(keySpacing)
	}
	for retries := 0; ; retries++ {
		outcome, retryAfter := l.attempt(ctx, c, r, retries > 0)
		if outcome != conformance.Rejected || retryAfter <= 0 || retries >= l.cfg.Retries {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(retryAfter):
		}
	}
}

func (l *LoadGenerator) newRequestID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requestCount++
	return fmt.Sprintf("%08x%08x", uint32(l.rng.Uint64()), uint32(l.requestCount))
}

// Statement returns the statement of a request, with the request's fields in a comment.
func (c *Class) Statement(
	requestID, tenant, idempotencyKey, orderKey string, dataSet int, isRetry bool,
) string {
	var b strings.Builder
	workMS := float64(c.Engine.Cost(requestID)) / float64(time.Millisecond)
	fmt.Fprintf(&b, "/* service=%s,ref=%s,allow=%d,project=%s,replay=%s,effort=%.1f,ram=%d",
		c.Engine.Name, requestID, c.Timeout.Milliseconds(), tenant, idempotencyKey, workMS,
		memoryPerThreadMB*c.Engine.Threads)
	if orderKey != "" {
		fmt.Fprintf(&b, ",lookup=%s", orderKey)
	}
	if isRetry {
		b.WriteString(",dup=1")
	}
	fmt.Fprintf(&b, " */ SELECT at, depth, note FROM chart_%d.soundings WHERE leg = '%s'", dataSet, requestID)
	return b.String()
}

// attempt sends a request once and checks the answer. It is not cancelled with ctx but runs up to its own timeout, so
// that each request that was sent has an outcome.
func (l *LoadGenerator) attempt(
	ctx context.Context, c *Class, r request, isRetry bool,
) (outcome conformance.Outcome, retryAfter time.Duration) {
	requestID := l.newRequestID()
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.Timeout)
	defer cancel()
	statement := c.Statement(requestID, r.tenant, r.idempotencyKey, r.orderKey, r.dataSet, isRetry)
	rows, err := l.query(ctx, statement, func() {
		sentAt = time.Now()
		if l.checker != nil {
			l.checker.RequestSent(conformance.Request{
				ID: requestID, Class: c.Engine.Name, OrderKey: r.orderKey, SentAt: sentAt, Timeout: c.Timeout,
			})
		}
	})
	took := time.Since(sentAt)
	if err == nil && rows != strings.Join(c.Engine.Result(requestID), "") {
		outcome = conformance.WrongAnswer
	} else {
		outcome, retryAfter = outcomeOf(err, ctx.Err() != nil)
	}
	l.report(c, requestID, outcome, took)
	return outcome, retryAfter
}

// report reports the outcome of an attempt to the checker and to OnRequestEnded, and counts it.
func (l *LoadGenerator) report(c *Class, requestID string, outcome conformance.Outcome, took time.Duration) {
	if l.checker != nil {
		l.checker.RequestEnded(requestID, outcome, time.Now())
	}
	if l.cfg.OnRequestEnded != nil {
		l.cfg.OnRequestEnded(c.Engine.Name, outcome, took)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[c.Engine.Name].add(outcome, took, c.LatencyObjective)
}

// outcomeOf returns the outcome that corresponds to an error, and the time after which a rejected request may be
// retried.
func outcomeOf(err error, timedOut bool) (outcome conformance.Outcome, retryAfter time.Duration) {
	if err == nil {
		return conformance.Served, 0
	}
	if answer, ok := errors.AsType[*mysql.MySQLError](err); ok {
		switch answer.Number {
		case codeTooManyConnections, codeTooManyUserConnections, codeUserLimitReached:
			return conformance.Rejected, retryAfterOf(answer.Message)
		}
		return conformance.Failed, 0
	}
	if timedOut {
		return conformance.ClientDisconnected, 0
	}
	return conformance.Unanswered, 0
}

var retryAfterPattern = regexp.MustCompile(`cooldown=([0-9]+)`)

// retryAfterOf returns the time after which a rejection allows a retry, or 0 if it specifies none.
func retryAfterOf(message string) time.Duration {
	m := retryAfterPattern.FindStringSubmatch(message)
	if m == nil {
		return 0
	}
	ms, _ := strconv.Atoi(m[1]) // the pattern matches digits only
	return time.Duration(ms) * time.Millisecond
}
