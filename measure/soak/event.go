package main

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// EventKind is the kind of an event that an engine or client process reports.
type EventKind string

// The kinds of events.
const (
	EngineListening EventKind = "listening" // an engine serves at Addr
	AttemptReceived EventKind = "attempt"   // an engine has received a complete attempt
	AttemptEnded    EventKind = "attempt_ended"
	RequestSent     EventKind = "sent"  // a client has written the last byte of a request
	RequestEnded    EventKind = "ended" // a client received the answer, stopped waiting or lost its connection
)

// Outcome describes how a request ended at its client.
type Outcome string

// The outcomes of requests.
const (
	Served             Outcome = "served"
	Rejected           Outcome = "rejected"
	Failed             Outcome = "failed"
	ClientDisconnected Outcome = "left"        // the client cancelled the request or closed its connection
	NoAnswer           Outcome = "no_answer"   // no answer within lateAnswerWindow after the client's timeout
	ConnectionClosed   Outcome = "closed"      // the connection ended without a complete answer
	WrongRows          Outcome = "wrong_rows"  // the rows differ from the result of the engines
	DuplicateAnswer    Outcome = "second_came" // a second answer to one request
	NotSent            Outcome = "not_sent"    // the request could not be written
)

// Event is one line of JSON on the standard output of an engine or client process. Which fields are set depends on the
// kind.
type Event struct {
	Kind    EventKind     `json:"kind"`
	At      time.Time     `json:"at"`
	Engine  string        `json:"engine,omitempty"`
	Addr    string        `json:"addr,omitempty"`
	Broker  string        `json:"broker,omitempty"` // address of the broker
	Request string        `json:"request,omitempty"`
	Class   string        `json:"class,omitempty"`
	Key     string        `json:"key,omitempty"`     // order key
	Timeout time.Duration `json:"timeout,omitempty"` // of the client, or the one that the attempt carried
	Outcome Outcome       `json:"outcome,omitempty"`
	Detail  string        `json:"detail,omitempty"`
}

// eventWriter writes events as lines of JSON. It is safe for concurrent use.
type eventWriter struct {
	mu      sync.Mutex
	encoder *json.Encoder
}

func newEventWriter(w io.Writer) *eventWriter { return &eventWriter{encoder: json.NewEncoder(w)} }

// write writes an event. Errors are ignored: the reader is gone only once the run is over.
func (w *eventWriter) write(e Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.encoder.Encode(e)
}
