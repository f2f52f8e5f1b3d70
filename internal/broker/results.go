package broker

import (
	"time"

	"wheatlane/control"
	"wheatlane/control/loadreport"
	"wheatlane/internal/broker/resultpages"
)

// pageTimeout is the longest time between two pages of a result.
const pageTimeout = 500 * time.Millisecond

// result is what was received of the result of an attempt.
type result struct {
	pages    *resultpages.Assembly
	work     time.Duration
	memoryMB float64
	report   loadreport.Report
}

// newResult returns a result with its first page.
func newResult(served AttemptServed) (*result, error) {
	pages, err := resultpages.New(served.PageCount, served.Body)
	if err != nil {
		return nil, err
	}
	return &result{pages: pages, work: served.Work, memoryMB: served.MemoryMB, report: served.Report}, nil
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
	if first.pages.Complete() {
		b.completeResult(now, a)
		return
	}
	for number := 1; number < ev.PageCount; number++ {
		b.emit(FetchPage{a.id, number})
	}
	b.timers.Set(now+pageTimeout, pageOverdue{a, first.pages.Missing()})
}

// pageReceived handles a further page of a result.
func (b *Broker) pageReceived(now time.Duration, ev PageReceived) {
	a := b.requests.attemptInFlight(ev.Attempt)
	if a == nil || a.cancelled() || a.result == nil {
		return
	}
	if err := a.result.pages.Add(ev.Number, ev.Body); err != nil {
		b.discardResult(now, a, err)
		return
	}
	if a.result.pages.Complete() {
		b.completeResult(now, a)
	}
}

// checkPages discards a result if no page was received since as many as given were missing, pageTimeout ago.
func (b *Broker) checkPages(now time.Duration, a *attempt, missing int) {
	switch {
	case !a.inFlight || a.cancelled():
	case a.result.pages.Missing() == missing:
		b.discardResult(now, a, resultpages.ErrMissingPage)
	default:
		b.timers.Set(now+pageTimeout, pageOverdue{a, a.result.pages.Missing()})
	}
}

// discardResult fails an attempt because of its result.
func (b *Broker) discardResult(now time.Duration, a *attempt, err error) {
	b.emit(ResultInvalid{a.engine, err})
	b.emit(ReleaseAttempt{Attempt: a.id, PagesLeft: true})
	b.endAttempt(now, a, control.AttemptEnded{Status: control.Failed})
}

// completeResult answers a request with a complete result.
func (b *Broker) completeResult(now time.Duration, a *attempt) {
	b.emit(ReleaseAttempt{Attempt: a.id})
	a.answeredClient = !a.request.closed
	b.answer(now, a.request, Reply{Kind: ReplyResult, Pages: a.result.pages.Pages()}, EndServed)
	b.endAttempt(now, a, control.AttemptEnded{
		Status:   control.OK,
		Work:     a.result.work,
		MemoryMB: a.result.memoryMB,
		Report:   a.result.report,
	})
}
