package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["gone"] = gone
	cases["upgrade-memory"] = upgradeMemory
}

// upgrade starts a second process beside the running one, with the same addresses and TMPDIR and another operator's
// address, and waits until it has said yes.
func (l *lab) upgrade(old *broker) *broker {
	next := *old
	next.config, next.operator = strings.TrimSuffix(old.config, ".json")+"-next.json", freeAddr()
	next.start(l.rec)
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if strings.HasPrefix(next.call("check"), "ACK") {
			l.rec.linef(time.Now(), "the second process has said yes")
			return &next
		}
	}
	fatal("the second process has not said yes after 6 s")
	return nil
}

// gone: clients of the old process give up loads that wait for their key, just after a new process has taken over.
func gone(l *lab) bool {
	const (
		pairs   = 12
		running = 1500 * time.Millisecond // of a load
		patient = 1250 * time.Millisecond // from the first load of a key to KILL QUERY for the second one
	)
	l.engines.work = func(a *attempt) (time.Duration, string) {
		if a.class == "survey-load" {
			return running, "OK"
		}
		return time.Duration(10+rand.IntN(30)) * time.Millisecond, "OK"
	}
	l.newEngines(6)
	b := l.newBroker("n1", settings(usualClasses(), 1), 192, 1024)
	b.start(l.rec)
	b.ready()
	traffic := &load{classes: []string{"lookup"}, clients: 20, pause: 80 * time.Millisecond}
	traffic.begin(l, b)
	time.Sleep(8 * time.Second)
	var first, second []*session
	for range pairs {
		first, second = append(first, usedSession(b)), append(second, usedSession(b))
	}
	if l.trouble {
		l.upgrade(b)
		b.signal(syscall.SIGTERM)
		l.rec.linef(time.Now(), "SIGTERM to the old process")
	}
	var wait sync.WaitGroup
	left := make([]time.Time, pairs)
	refs := make([]string, pairs)
	for i := range pairs {
		wait.Go(func() { refs[i], left[i] = l.giveUpSecond(b, first[i], second[i], patient) })
	}
	wait.Wait()
	time.Sleep(3 * time.Second)
	l.rec.say("answers to the other clients: %v", traffic.end())
	late := 0
	for _, a := range l.engines.list() {
		for i := range pairs {
			if after := a.begun.Sub(left[i]); a.id == refs[i] && after > 150*time.Millisecond {
				late++
				l.rec.say("%s began at %s %.0f ms after its client had left", a.id, a.engine, ms(after))
			}
		}
	}
	l.rec.say("%d of %d loads began more than 0.15 s after KILL QUERY", late, pairs)
	return late > 0
}

// giveUpSecond sends two loads of one key and gives the second one up: KILL QUERY on a new session, and the end of its
// own half a second later. It returns the second one's id and when its client left.
func (l *lab) giveUpSecond(b *broker, first, second *session, patient time.Duration) (ref string, left time.Time) {
	key, began := fmt.Sprintf("7f3a9c21%08x", rand.Uint32()), time.Now()
	for _, s := range []*session{first, second} {
		ref = newRef()
		r := request{
			class: "survey-load", ref: ref, allow: 8 * time.Second, tenant: "harbour-office", key: key, once: ref + ref,
			statement: soundings(1+rand.IntN(60), 3),
		}
		if _, err := s.conn.Write(query(r.text())); err != nil {
			fatal(err)
		}
		l.rec.linef(time.Now(), "client: load %s, key %s, connection %d", ref, key, s.id)
		time.Sleep(100 * time.Millisecond)
	}
	go func() {
		first.conn.SetReadDeadline(time.Now().Add(9 * time.Second))
		got := first.answer()
		l.rec.linef(got.at, "client: answer to the first load of %s: %s", key, got)
	}()
	time.Sleep(time.Until(began.Add(patient)))
	killer, err := connect(b.listen)
	if err != nil {
		fatal(err)
	}
	killer.conn.Write(query(fmt.Sprintf("KILL QUERY %d", second.id)))
	left = time.Now()
	l.rec.linef(left, "client: KILL QUERY %d (load %s)", second.id, ref)
	killer.conn.SetReadDeadline(time.Now().Add(time.Second))
	got := killer.answer()
	l.rec.linef(got.at, "client: answer to KILL QUERY %d: %s", second.id, got)
	killer.close()
	time.Sleep(time.Until(left.Add(500 * time.Millisecond)))
	second.close()
	return ref, left
}

// upgradeMemory: a broker with the least memory and many bad clients gets a second process beside it. Both count as one
// broker for its limits.
func upgradeMemory(l *lab) bool {
	const before, beside = 6 * time.Second, 8 * time.Second
	limit := figure("MEMORY_MB", 32)
	l.engines.work = func(*attempt) (time.Duration, string) {
		return time.Duration(20+rand.IntN(60)) * time.Millisecond, "OK"
	}
	l.newEngines(6)
	b := l.newBroker("n1", settings(usualClasses(), 1), limit, 1024)
	b.start(l.rec)
	b.ready()
	traffic := &load{classes: []string{"lookup", "lookup", "lookup", "route-report"}, clients: 20, pause: 200 * time.Millisecond}
	traffic.begin(l, b)
	var stop atomic.Bool
	var crowd sync.WaitGroup
	for i := range figure("CROWD", 300) { // with the usual ones under a third of 1,024 descriptors
		crowd.Go(func() {
			for !stop.Load() {
				crowdClient(b, i, &stop)
			}
		})
	}
	watch := func(during time.Duration, processes ...*broker) (peak, over int) {
		for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			held := heldKB(processes)
			l.rec.linef(time.Now(), "memory of %d processes: %d KB", len(processes), held)
			if peak = max(peak, held); held > limit<<10 {
				over++
			}
		}
		return peak, over
	}
	peak, over := watch(before, b)
	l.rec.say("one process: peak %d KB of %d, over it in %d samples", peak, limit<<10, over)
	if l.trouble {
		next := l.upgrade(b)
		both, overBoth := watch(beside/2, b, next)
		b.signal(syscall.SIGTERM)
		later, overLater := watch(3*time.Second, b, next)
		both, over = max(both, later), over+overBoth+overLater
		l.rec.say("two processes: peak %d KB of %d, over it in %d samples", both, limit<<10, overBoth+overLater)
	} else {
		_, more := watch(beside, b)
		over += more
	}
	stop.Store(true)
	l.rec.say("answers to the usual clients: %v", traffic.end())
	crowd.Wait()
	return over >= 3
}

// heldKB returns the memory of processes: what each has of its own, and the pages of the program file once.
func heldKB(processes []*broker) (kb int) {
	shared := 0
	for _, p := range processes {
		own := p.memoryKB("Anonymous")
		kb += own
		shared = max(shared, p.memoryKB("Rss")-own)
	}
	return kb + shared
}

// crowdClient is a bad client of one of five kinds.
func crowdClient(b *broker, kind int, stop *atomic.Bool) {
	s, err := connect(b.listen)
	if err != nil {
		time.Sleep(30 * time.Millisecond)
		return
	}
	defer s.close()
	s.conn.SetDeadline(time.Now().Add(4 * time.Second))
	fields := "service=route-report,ref=" + newRef() + ",allow=19000,project=nobody"
	large := query("/* " + fields + " */ SELECT '" + strings.Repeat("x", 63_000) + "' FROM a_1.b")
	switch kind % 5 {
	case 0: // writes slowly
		for at := 0; at < len(large) && !stop.Load(); at += 3000 {
			if _, err := s.conn.Write(large[at:min(len(large), at+3000)]); err != nil {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		s.answer()
	case 1: // stops half way
		s.conn.Write(large[:40_000])
		s.answer()
	case 2: // very many short fields
		message := query("/* " + strings.Repeat("a=b,", 14_000) + "service=nothing */ SELECT 1")
		for range 20 {
			if _, err := s.conn.Write(message); err != nil || s.answer().kind == "lost" {
				break
			}
		}
	case 3: // large ones at once
		for range 5 {
			s.conn.Write(large)
		}
		for range 5 {
			if s.answer().kind == "lost" {
				break
			}
		}
	case 4: // hundreds at once
		var all []byte
		for range 300 {
			all = append(all, query("/* "+fields+" */ SELECT 1 FROM a_1.b WHERE c='"+strings.Repeat("k", 1500)+"'")...)
		}
		s.conn.Write(all)
		for range 300 {
			if s.answer().kind == "lost" {
				break
			}
		}
	}
}
