package control_test

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"wheatlane/control"
)

// encoder hashes actions independently of the names of types and fields: kinds are encoded as the numbers of
// kindOf, structs as the values of their fields in order, and floats by their bits.
type encoder struct {
	hash.Hash
	kinds [numberOfKinds]int // number of actions of each kind
}

const (
	numberOfKinds = 11
	noticeKind    = 10 // kind of all notices to the operators
)

func (e *encoder) number(v uint64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], v)
	_, _ = e.Write(b[:]) // a hash's Write never fails
}

func (e *encoder) value(v reflect.Value) {
	switch {
	case v.Kind() == reflect.Bool:
		if v.Bool() {
			e.number(1)
		} else {
			e.number(0)
		}
	case v.CanInt():
		e.number(uint64(v.Int()))
	case v.CanUint():
		e.number(v.Uint())
	case v.CanFloat():
		e.number(math.Float64bits(v.Float()))
	case v.Kind() == reflect.String:
		e.number(uint64(v.Len()))
		_, _ = e.Write([]byte(v.String()))
	case v.Kind() == reflect.Slice:
		e.number(uint64(v.Len()))
		for i := range v.Len() {
			e.value(v.Index(i))
		}
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			e.value(v.Field(i))
		}
	default:
		panic(fmt.Sprintf("no encoding for a value of kind %v", v.Kind()))
	}
}

func (e *encoder) action(a control.Action) {
	kind := kindOf(a)
	e.kinds[kind]++
	e.number(uint64(kind))
	if kind != noticeKind { // that a notice is emitted is a decision, but its contents are not
		e.value(reflect.ValueOf(a))
	}
}

func kindOf(action control.Action) int {
	switch action.(type) {
	case control.SendAttempt:
		return 1
	case control.Reject:
		return 2
	case control.Fail:
		return 3
	case control.CancelAttempt:
		return 4
	case control.SetAttemptOptions:
		return 5
	case control.SetTimer:
		return 6
	case control.ProbeLoad:
		return 7
	case control.SendGossip:
		return 8
	case control.WatchEndpoints:
		return 9
	case control.EngineEjected, control.EngineRestored:
		return noticeKind
	}
	panic(fmt.Sprintf("no kind for an action of type %T", action))
}

// run simulates a case and returns the hash of the decisions and the number of actions by kind.
func (c recordedCase) run(tb testing.TB) (string, [numberOfKinds]int) {
	tb.Helper()
	e := &encoder{Hash: sha256.New()}
	for seed := range c.seeds {
		cluster := newSimulatedCluster(tb, c.settings(tb), seed+1, c.engines)
		if c.lossy {
			cluster.faultRate, cluster.lossRate = 0.005, 0.35
		}
		cluster.observe = func(b batch, actions []control.Action) {
			e.number(uint64(b.now))
			e.number(uint64(len(actions)))
			for _, a := range actions {
				e.action(a)
			}
		}
		var view control.View
		for range c.length / (5 * time.Second) {
			cluster.run(5 * time.Second)
			cluster.controller.View(&view)
			e.value(reflect.ValueOf(view))
		}
	}
	return fmt.Sprintf("%x", e.Sum(nil)), e.kinds
}

// TestDecisionsMatchRecordedHashes guards against unintended changes of decisions: it compares them with
// recorded hashes over simulated clusters with faults, drains, restarts, lost responses, cancellations,
// reloads, maintenance and gossip. The hashes depend on the floating-point results of amd64, where no
// multiplication is fused with an addition.
func TestDecisionsMatchRecordedHashes(t *testing.T) {
	var kinds [numberOfKinds]int
	for _, c := range recordedCases() {
		t.Run(strings.ReplaceAll(c.name, " ", "-"), func(t *testing.T) {
			got, seen := c.run(t)
			if got != c.want {
				t.Errorf("hash %s, want %s; actions by kind: %v", got, c.want, seen)
			}
			for i, n := range seen {
				kinds[i] += n
			}
		})
	}
	for kind, n := range kinds[1:] {
		if n < 50 {
			t.Errorf("%d actions of kind %d, want at least 50 for a meaningful hash", n, kind+1)
		}
	}
}
