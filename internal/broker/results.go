package broker

import (
	"time"

	"wheatlane/control"
	"wheatlane/control/loadreport"
	"wheatlane/internal/broker/resultpages"
	"wheatlane/internal/memorybudget"
)

// pageTimeout is the maximum time between two pages of a result.
const pageTimeout = 500 * time.Millisecond

// result is the received part of an attempt's result.
type result struct {
	pages    *resultpages.Assembler
	work     time.Duration
	memoryMB float64
	report   loadreport.Report
}

// newResult returns a result with its first page, or an error if the page is invalid.
func newResult(served FirstPageReceived) (*result, error) {
	pages, err := resultpages.New(served.PageCount, served.Body)
	if err != nil {
		return nil, err
	}
	return &result{pages: pages, work: served.Work, memoryMB: served.MemoryMB, report: served.Report}, nil
}

// firstPageReceived handles the first page of a result. The attempt succeeds only with the last page: if the engine
// fails between two pages, the request is retried.
func (b *Broker) firstPageReceived(now time.Duration, event FirstPageReceived) {
	attempt := b.requests.attemptInFlight(event.Attempt)
	if attempt == nil || !attempt.awaitsFirstPage() {
		return
	}
	first, err := newResult(event)
	if err != nil {
		b.discardResult(now, attempt, err)
		return
	}
	attempt.result = first
	if first.pages.Complete() {
		b.completeResult(now, attempt)
		return
	}
	b.requestPages(now, attempt)
}

// requestPages requests the missing pages of a result once there is memory for them. Until then they stay with the
// engine.
func (b *Broker) requestPages(now time.Duration, attempt *attempt) {
	bytes := attempt.result.pages.Missing() * resultpages.MaxPageBytes
	if b.memory.results.Request(now, attempt, min(bytes, resultpages.MaxResultBytes)) == memorybudget.Admit {
		b.fetchPages(now, attempt)
	}
}

// fetchPages requests the missing pages of a result from its engine.
func (b *Broker) fetchPages(now time.Duration, attempt *attempt) {
	missing := attempt.result.pages.Missing()
	for number := 1; number <= missing; number++ {
		b.emit(FetchPage{attempt.id, number})
	}
	attempt.pageTimeout = b.timers.Set(now+pageTimeout, pageTimedOut{attempt, missing})
}

// releasePages releases the memory of a result, and requests the pages of those that waited for it.
func (b *Broker) releasePages(now time.Duration, attempt *attempt) {
	for _, next := range b.memory.results.Release(now, attempt) {
		if next.result == nil || next.cancelled() {
			continue // ends without its pages
		}
		b.fetchPages(now, next)
	}
}

// pageReceived handles another page of a result.
func (b *Broker) pageReceived(now time.Duration, event PageReceived) {
	attempt := b.requests.attemptInFlight(event.Attempt)
	if attempt == nil || attempt.cancelled() || attempt.result == nil {
		return
	}
	if err := attempt.result.pages.Add(event.Number, event.Body); err != nil {
		b.discardResult(now, attempt, err)
		return
	}
	if attempt.result.pages.Complete() {
		b.completeResult(now, attempt)
	}
}

// checkPageTimeout discards a result if no page was received within pageTimeout; missing is the number of missing pages
// when the timer was set.
func (b *Broker) checkPageTimeout(now time.Duration, attempt *attempt, missing int) {
	switch {
	case !attempt.inFlight || attempt.cancelled():
	case attempt.result.pages.Missing() == missing:
		b.discardResult(now, attempt, resultpages.ErrPageTimeout)
	default:
		attempt.pageTimeout = b.timers.Set(now+pageTimeout, pageTimedOut{attempt, attempt.result.pages.Missing()})
	}
}

// discardResult fails an attempt because its result is invalid or incomplete.
func (b *Broker) discardResult(now time.Duration, attempt *attempt, err error) {
	b.emit(ResultInvalid{attempt.engine, err})
	b.emit(ReleaseAttempt{Attempt: attempt.id, PagesLeft: true})
	b.endAttempt(now, attempt, control.AttemptEnded{Status: control.Failed})
}

// completeResult answers a request with a complete result.
func (b *Broker) completeResult(now time.Duration, attempt *attempt) {
	b.emit(ReleaseAttempt{Attempt: attempt.id})
	attempt.answeredClient = !attempt.request.closed
	b.answer(now, attempt.request, Reply{Kind: ReplyResult, Pages: attempt.result.pages.Pages()}, EndServed)
	b.endAttempt(now, attempt, control.AttemptEnded{
		Status:   control.OK,
		Work:     attempt.result.work,
		MemoryMB: attempt.result.memoryMB,
		Report:   attempt.result.report,
	})
}
