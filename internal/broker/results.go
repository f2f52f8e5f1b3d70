package broker

import (
	"bytes"
	"errors"
	"time"
	"unicode/utf8"

	"wheatlane/control"
	"wheatlane/control/loadreport"
)

// MaxResultBytes is the size of the largest result, all its pages together.
const MaxResultBytes = 48000

const (
	rowColumns   = 3    // of every row
	maxPageBytes = 6000 // of a page
	maxPages     = 64   // of a result: engines fill pages, so that two in a row hold more than one can

	// pageTimeout is the longest time between two pages of a result.
	pageTimeout = 500 * time.Millisecond
)

// Errors of a result. Their texts end a log line.
var (
	errInvalidFirstPage = errors.New("invalid first page of a result")
	errInvalidPage      = errors.New("invalid page of a result")
	errMissingPage      = errors.New("timeout of a page of a result")
)

// result assembles the pages of a result, which may come in any order.
type result struct {
	pages    [][]byte // nil: not received
	missing  int      // number of pages not received
	bytes    int      // of the pages received
	work     time.Duration
	memoryMB float64
	report   loadreport.Report
}

// newResult returns a result with its first page.
func newResult(served AttemptServed) (*result, error) {
	if served.PageCount < 1 || served.PageCount > maxPages || !validPage(served.Body) {
		return nil, errInvalidFirstPage
	}
	r := &result{
		pages:    make([][]byte, served.PageCount),
		missing:  served.PageCount - 1,
		bytes:    len(served.Body),
		work:     served.Work,
		memoryMB: served.MemoryMB,
		report:   served.Report,
	}
	r.pages[0] = nonNil(served.Body)
	return r, nil
}

// add adds a page that follows the first. An equal duplicate is ignored.
func (r *result) add(number int, body []byte) error {
	if number < 0 || number >= len(r.pages) {
		return errInvalidPage
	}
	if r.pages[number] != nil && bytes.Equal(r.pages[number], body) {
		return nil
	}
	r.bytes += len(body)
	if r.pages[number] != nil || !validPage(body) || r.bytes > MaxResultBytes {
		return errInvalidPage
	}
	r.pages[number] = nonNil(body)
	r.missing--
	return nil
}

// nonNil distinguishes an empty page from one that was not received.
func nonNil(page []byte) []byte {
	if page == nil {
		return []byte{}
	}
	return page
}

// validPage reports whether a page is text in complete rows, as engines send it.
func validPage(page []byte) bool {
	if len(page) > maxPageBytes || !utf8.Valid(page) {
		return false
	}
	for len(page) > 0 {
		row, rest, ended := bytes.Cut(page, []byte{'\n'})
		if !ended || bytes.Count(row, []byte{'\t'}) != rowColumns-1 {
			return false
		}
		page = rest
	}
	return true
}

// attemptServed handles the first page of a result. The attempt succeeds only with the last page: if the
// engine dies between two pages, the request is retried.
func (b *Broker) attemptServed(now time.Duration, ev AttemptServed) {
	a := b.requests.attemptInFlight(ev.Attempt)
	if a == nil || !a.awaitsFirstPage() {
		return
	}
	first, err := newResult(ev)
	if err != nil {
		b.discardResult(now, a, err)
		return
	}
	a.result = first
	if first.missing == 0 {
		b.completeResult(now, a)
		return
	}
	for number := 1; number < ev.PageCount; number++ {
		b.emit(FetchPage{a.id, number})
	}
	b.timers.set(now+pageTimeout, pageOverdue{a, first.missing})
}

// pageReceived handles a further page of a result.
func (b *Broker) pageReceived(now time.Duration, ev PageReceived) {
	a := b.requests.attemptInFlight(ev.Attempt)
	if a == nil || a.cancelled() || a.result == nil {
		return
	}
	if err := a.result.add(ev.Number, ev.Body); err != nil {
		b.discardResult(now, a, err)
		return
	}
	if a.result.missing == 0 {
		b.completeResult(now, a)
	}
}

// checkPages discards a result if no page was received since as many as given were missing, pageTimeout ago.
func (b *Broker) checkPages(now time.Duration, a *attempt, missing int) {
	switch {
	case !a.inFlight || a.cancelled():
	case a.result.missing == missing:
		b.discardResult(now, a, errMissingPage)
	default:
		b.timers.set(now+pageTimeout, pageOverdue{a, a.result.missing})
	}
}

// discardResult fails an attempt because of its result.
func (b *Broker) discardResult(now time.Duration, a *attempt, err error) {
	b.emit(LogLine{"engine " + a.engine + ": " + err.Error()})
	b.emit(ReleaseAttempt{Attempt: a.id, PagesLeft: true})
	b.endAttempt(now, a, control.AttemptEnded{Status: control.Failed})
}

// completeResult answers a request with a complete result.
func (b *Broker) completeResult(now time.Duration, a *attempt) {
	b.emit(ReleaseAttempt{Attempt: a.id})
	a.answeredClient = !a.request.closed
	b.answer(now, a.request, Reply{Kind: ReplyResult, Pages: a.result.pages}, EndServed)
	b.endAttempt(now, a, control.AttemptEnded{
		Status:   control.OK,
		Work:     a.result.work,
		MemoryMB: a.result.memoryMB,
		Report:   a.result.report,
	})
}
