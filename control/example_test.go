package control_test

import (
	"fmt"
	"time"

	"wheatlane/control"
)

// One gateway, one engine: a query is taken, sent and answered. A host calls Handle with whatever happened
// and carries out what it returns; timers come back as control.Timer with the same token.
func Example() {
	c, err := control.New(control.Settings{
		Gateways: 1,
		Round:    5 * time.Millisecond,
		Classes:  []control.Class{{Name: "lookup", Aim: 600 * time.Millisecond, Worth: 1, Threads: 1}},
		Kinds:    map[string]control.Kind{"std": {Cores: 8, MemoryMB: 16384}},
		Limits:   control.Limits{MaxAttempts: 3},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Hour
	events := []control.Event{
		control.List{Kind: control.Whole, Engines: []control.Engine{{ID: "engine-1", Kind: "std"}}},
		control.Arrival{Query: control.Query{ID: "q1", Class: "lookup", Deadline: now + 3*time.Second}},
	}
	for _, a := range c.Handle(now, events) {
		if send, ok := a.(control.Send); ok {
			fmt.Println("send", send.Query, "to", send.Engine)
		}
	}
	now += 120 * time.Millisecond
	c.Handle(now, []control.Event{control.Attempt{Query: "q1", Engine: "engine-1", Status: control.OK,
		Took: 120 * time.Millisecond, Closed: true}})
	// Output: send q1 to engine-1
}
