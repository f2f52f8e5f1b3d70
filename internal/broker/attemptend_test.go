package broker

import (
	"testing"

	"wheatlane/control"
)

// The status that the decision module receives determines whether a request may be retried.
func TestEndStatus(t *testing.T) {
	t.Parallel()
	const notCancelled = control.OK
	for name, c := range map[string]struct {
		reported, cancelStatus control.Status
		pageReceived           bool
		want                   control.Status
	}{
		"as reported":                  {control.AtCapacity, notCancelled, false, control.AtCapacity},
		"cancelled by the engine pool": {control.Cancelled, notCancelled, false, control.Cancelled},
		"cancelled at its timeout":     {control.Cancelled, control.TimedOut, false, control.TimedOut},
		"reset after its cancel":       {control.ConnectionReset, control.TimedOut, false, control.ConnectionReset},
		"BUSY for another page":        {control.AtCapacity, notCancelled, true, control.Failed},
		"VOID for another page":        {control.NeverSent, notCancelled, true, control.Failed},
		"cancelled between pages":      {control.Cancelled, control.Cancelled, true, control.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := endStatus(c.reported, c.cancelStatus, c.pageReceived); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// An ended attempt remains in flight for settleDelay if another attempt could reach an engine before its cancel does.
func TestMustSettle(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		status           control.Status
		ordered, hedging bool
		want             bool
	}{
		"cancelled":                         {control.Cancelled, false, true, false},
		"cancelled, ordered":                {control.Cancelled, true, true, true},
		"cancelled, without hedging":        {control.Cancelled, false, false, true},
		"timed out, ordered":                {control.TimedOut, true, true, true},
		"connection reset, ordered":         {control.ConnectionReset, true, true, false},
		"connection reset, without hedging": {control.ConnectionReset, false, false, true},
		"failed, without hedging":           {control.Failed, true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := mustSettle(c.status, c.ordered, c.hedging); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
