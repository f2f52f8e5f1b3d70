package control_test

import (
	"fmt"
	"time"

	"wheatlane/control"
)

// With one broker and one engine, a request is received, sent and answered. A host passes events to Handle
// and performs the actions that it returns. When the timer of a control.SetTimer expires, the host passes a
// control.TimerFired with its token.
func Example() {
	c, err := control.New(control.Settings{
		Brokers:          1,
		MinBatchInterval: 5 * time.Millisecond,
		Classes: []control.Class{
			{Name: "lookup", LatencyObjective: 600 * time.Millisecond, PriorityWeight: 1, Threads: 1},
		},
		EngineKinds: map[string]control.EngineKind{"std": {Cores: 8, MemoryMB: 16384}},
		Limits:      control.Limits{MaxAttempts: 3},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Hour
	events := []control.Event{
		control.EndpointUpdate{
			Kind: control.EndpointSnapshot, Engines: []control.Engine{{ID: "engine-1", Kind: "std"}},
		},
		control.RequestReceived{Request: control.Request{ID: "q1", Class: "lookup", Deadline: now + 3*time.Second}},
	}
	for _, a := range c.Handle(now, events) {
		if send, ok := a.(control.SendAttempt); ok {
			fmt.Println("send", send.RequestID, "to", send.Engine)
		}
	}
	now += 120 * time.Millisecond
	c.Handle(now, []control.Event{control.AttemptEnded{
		RequestID: "q1", Engine: "engine-1", Status: control.OK,
		Duration: 120 * time.Millisecond, RequestClosed: true,
	}})
	// Output: send q1 to engine-1
}
