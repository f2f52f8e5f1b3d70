package main

import (
	"context"
	"errors"
	"time"

	"wheatlane/internal/emulator/pacing"
)

const (
	// minOutage is longer than the time after which the protocol counts an event as announced whatever a poll that was
	// sent before the outage waits for.
	minOutage        = 4 * time.Second
	outageRange      = 2 * time.Second
	drainAfterOutage = 30 * time.Millisecond
)

// outageForm interrupts a proxy of the change log until the returned function is called.
type outageForm func(p *proxy) (end func() error)

// outageForms lists the forms of an outage: connections are refused; open ones are silent and new ones never come up;
// new ones come up and are silent as well.
var outageForms = []outageForm{(*proxy).refuse, (*proxy).vanish, (*proxy).silence}

// vanish makes the server vanish as a machine does: open connections stay open and silent, new ones never come up.
func (p *proxy) vanish() (end func() error) {
	resume, accept := p.silence(), p.delayConnects()
	return func() error {
		accept()
		return resume()
	}
}

// silence holds all bytes. New connections come up.
func (p *proxy) silence() (end func() error) {
	p.setHeld(toServer, true)
	p.setHeld(toBroker, true)
	return func() error {
		p.setHeld(toServer, false)
		p.setHeld(toBroker, false)
		return nil
	}
}

// interruptChangelog takes the change log away for a while and drains an engine just after its return.
func (s *soak) interruptChangelog(ctx context.Context) error {
	form, from := outageForms[s.draw(len(outageForms))], time.Now()
	proxies := s.brokers[0].changelogProxies // those of all brokers
	ends := make([]func() error, 0, len(proxies))
	for _, p := range proxies {
		ends = append(ends, form(p))
	}
	pacing.Pause(ctx, minOutage+s.drawDuration(outageRange))
	var err error
	for _, end := range ends {
		err = errors.Join(err, end())
	}
	s.updateHistory(func(h *history) { h.outages = append(h.outages, span{from, time.Now()}) })
	if err != nil {
		return err
	}
	pacing.Pause(ctx, drainAfterOutage)
	return onEngine((*soak).drainEngine)(s, ctx)
}
