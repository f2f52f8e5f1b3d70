package main

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// EventKind is the kind of an event that a process of a soak run reports.
type EventKind string

// The kinds.
const (
	EngineListening EventKind = "listening" // an engine serves at Addr
	AttemptReceived EventKind = "attempt"   // an engine has received a complete attempt
	AttemptEnded    EventKind = "attempt_ended"
	RequestSent     EventKind = "sent"  // a client has written the last byte of a request
	RequestEnded    EventKind = "ended" // it got its answer, stopped waiting or lost its connection
)

// Outcome is how a request ended at its client.
type Outcome string

// The outcomes.
const (
	Served             Outcome = "served"
	Rejected           Outcome = "rejected"
	Failed             Outcome = "failed"
	ClientDisconnected Outcome = "left"        // the client cancelled it or closed its connection
	NoAnswer           Outcome = "no_answer"   // none came until half a second after the client's time
	ConnectionClosed   Outcome = "closed"      // the connection ended without a complete answer
	WrongRows          Outcome = "wrong_rows"  // served with what no engine made for it
	DuplicateAnswer    Outcome = "second_came" // a second answer followed the first
	NotSent            Outcome = "not_sent"    // it could not be written
)

// Event is one line of a process's report. Which fields are set depends on the kind.
type Event struct {
	Kind    EventKind     `json:"kind"`
	At      time.Time     `json:"at"`
	Engine  string        `json:"engine,omitempty"`
	Addr    string        `json:"addr,omitempty"`
	Broker  string        `json:"broker,omitempty"` // its address
	Request string        `json:"request,omitempty"`
	Class   string        `json:"class,omitempty"`
	Key     string        `json:"key,omitempty"`     // order key
	Timeout time.Duration `json:"timeout,omitempty"` // of the client, or that an engine was sent
	Outcome Outcome       `json:"outcome,omitempty"`
	Detail  string        `json:"detail,omitempty"`
}

// eventWriter writes events as lines of JSON. It may be used from several goroutines.
type eventWriter struct {
	mu      sync.Mutex
	encoder *json.Encoder
}

func newEventWriter(w io.Writer) *eventWriter { return &eventWriter{encoder: json.NewEncoder(w)} }

// write writes an event. A reader that has gone loses it: the run is over then.
func (w *eventWriter) write(e Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.encoder.Encode(e)
}
