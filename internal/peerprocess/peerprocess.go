// Package peerprocess connects the processes of one broker, of which there are two during an upgrade: they assign
// session ids that differ, and pass on KILL for sessions that they don't know. All processes map one file into memory.
package peerprocess

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// The file is an array of words, which processes change atomically: the header, a heartbeat for each process, and a
// ring of kills.
const (
	wordSessions = 0 // number of session ids assigned since the file was created, plus the first one's predecessor
	wordKills    = 1 // number of kills sent
	headerWords  = 2

	maxProcesses = 8
	ringKills    = 256 // the oldest kill is overwritten when more are sent

	wordsPerKill = 4
	killNumber   = 0 // 1 for the first kill; 0 while the record is written
	killTarget   = 1 // session, flag and sender
	killSentAt   = 2
	killAnswers  = 3

	killWord  = headerWords + maxProcesses
	fileWords = killWord + ringKills*wordsPerKill
	wordBytes = 8

	closeConnectionBit = 1 << 32
	senderShift        = 40
	unknownShift       = maxProcesses // of a process's bit in killAnswers if it does not know the session
)

const (
	// maxHeartbeatAge is the age of a heartbeat beyond which a process has ended or is held up.
	maxHeartbeatAge = 500 * time.Millisecond
	filePerm        = 0o600
)

// ErrTooManyProcesses is returned by Open if the file has no place for another process.
var ErrTooManyProcesses = errors.New("peerprocess: too many processes")

// Kill is a KILL command that is passed on.
type Kill struct {
	Target          uint32
	CloseConnection bool
	SentAt          time.Duration // of the clock that Now reads
}

// Answer is what is known of a kill that was sent.
type Answer int

// The answers.
const (
	Pending Answer = iota // a process has not answered yet
	Known                 // a process knows the session
	Unknown               // no process knows the session
)

// Processes is this process's place among those of a broker. Its methods must be called on one goroutine, except
// NextSession.
type Processes struct {
	words    []atomic.Uint64
	index    int    // of this process
	received uint64 // number of kills that were read
	now      func() time.Duration
}

// Open joins the processes that have opened the same file, which is created if it does not exist.
func Open(path string) (*Processes, error) {
	words, err := mapWords(path)
	if err != nil {
		return nil, fmt.Errorf("open file of the broker's processes: %w", err)
	}
	p := &Processes{words: words, now: Now}
	if !p.join() {
		return nil, ErrTooManyProcesses
	}
	p.received = words[wordKills].Load()
	return p, nil
}

// New returns the only process of a broker.
func New() *Processes {
	p := &Processes{words: make([]atomic.Uint64, fileWords), now: Now}
	p.join()
	return p
}

// mapWords maps a file into memory.
func mapWords(path string) ([]atomic.Uint64, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, filePerm)
	if err != nil {
		return nil, err
	}
	const bytes = fileWords * wordBytes
	// Allocated now: a write to the mapping of a file that the disk has no space for would end the process.
	err = unix.Fallocate(int(file.Fd()), 0, 0, bytes)
	var memory []byte
	if err == nil {
		memory, err = unix.Mmap(int(file.Fd()), 0, bytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	}
	if err := errors.Join(err, file.Close()); err != nil {
		return nil, err
	}
	return unsafe.Slice((*atomic.Uint64)(unsafe.Pointer(&memory[0])), fileWords), nil
}

// Now returns the time of a clock that all processes of this machine share and that is never stepped.
func Now() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &now) != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

// join takes the place of a process that has ended and reports whether there is one.
func (p *Processes) join() bool {
	for i := range maxProcesses {
		word := p.heartbeat(i)
		last := word.Load()
		if !p.isAlive(last) && word.CompareAndSwap(last, uint64(p.now())) {
			p.index = i
			return true
		}
	}
	return false
}

func (p *Processes) heartbeat(index int) *atomic.Uint64 { return &p.words[headerWords+index] }

// isAlive reports whether a process with a last heartbeat is running.
func (p *Processes) isAlive(last uint64) bool {
	age := p.now() - time.Duration(last)
	return last != 0 && age.Abs() <= maxHeartbeatAge // a heartbeat of the future is one before a restart of the machine
}

// Beat tells the other processes that this one is running. It must be called several times within maxHeartbeatAge.
func (p *Processes) Beat() { p.heartbeat(p.index).Store(uint64(p.now())) }

// Leave tells the other processes that this one answers no more kills.
func (p *Processes) Leave() { p.heartbeat(p.index).Store(0) }

// NextSession returns a session id that no process has. first is the id before the first one of a new file. Any
// goroutine may call it.
func (p *Processes) NextSession(first uint32) uint32 {
	sessions := &p.words[wordSessions]
	sessions.CompareAndSwap(0, uint64(first))
	for {
		if id := uint32(sessions.Add(1)); id != 0 {
			return id
		}
	}
}

// others returns the bits of the other processes that are running.
func (p *Processes) others() (bits uint64) {
	for i := range maxProcesses {
		if i != p.index && p.isAlive(p.heartbeat(i).Load()) {
			bits |= 1 << i
		}
	}
	return bits
}

// Send passes a kill on to the other processes. It reports false if there are none.
func (p *Processes) Send(kill Kill) (sent Sent, ok bool) {
	if p.others() == 0 {
		return Sent{}, false
	}
	number := p.words[wordKills].Add(1)
	record := p.record(number)
	record[killNumber].Store(0)
	target := uint64(kill.Target) | uint64(p.index)<<senderShift
	if kill.CloseConnection {
		target |= closeConnectionBit
	}
	record[killTarget].Store(target)
	record[killSentAt].Store(uint64(kill.SentAt))
	record[killAnswers].Store(0)
	record[killNumber].Store(number)
	return Sent{processes: p, number: number}, true
}

// record returns the words of a kill.
func (p *Processes) record(number uint64) []atomic.Uint64 {
	return p.words[killWord+number%ringKills*wordsPerKill:][:wordsPerKill]
}

// Receive calls handle for each kill that another process has sent since the last call. handle reports whether this
// process knows the session.
func (p *Processes) Receive(handle func(Kill) (known bool)) {
	sent := p.words[wordKills].Load()
	if sent-p.received > ringKills {
		p.received = sent - ringKills
	}
	for p.received < sent {
		record := p.record(p.received + 1)
		number := record[killNumber].Load()
		if number <= p.received { // being written
			return
		}
		p.received++
		if number == p.received {
			p.answer(record, handle)
		}
	}
}

// answer handles the kill of a record and stores the answer.
func (p *Processes) answer(record []atomic.Uint64, handle func(Kill) (known bool)) {
	target := record[killTarget].Load()
	if target>>senderShift == uint64(p.index) {
		return
	}
	bit := uint64(1) << p.index
	if !handle(Kill{
		Target:          uint32(target),
		CloseConnection: target&closeConnectionBit != 0,
		SentAt:          time.Duration(record[killSentAt].Load()),
	}) {
		bit <<= unknownShift
	}
	record[killAnswers].Or(bit)
}

// Sent is a kill that was passed on.
type Sent struct {
	processes *Processes
	number    uint64
}

// Answer returns what the other processes have answered. Those that have ended, or are held up, are not waited for.
func (s Sent) Answer() Answer {
	record := s.processes.record(s.number)
	answers := record[killAnswers].Load()
	switch {
	case record[killNumber].Load() != s.number: // overwritten: answered long ago
		return Unknown
	case answers&(1<<maxProcesses-1) != 0:
		return Known
	case s.processes.others()&^(answers>>unknownShift) == 0:
		return Unknown
	}
	return Pending
}
