package broker

import (
	"encoding/binary"
	"fmt"
	"hash"
	"math"
	"reflect"

	"wheatlane/internal/invariant"
)

// Numbers in the hashes for kinds of effects and of meter calls.
const (
	lastEffectKind = 14
	logLineKind    = 14
	firstMeterKind = 100
	stateKind      = 200
	bytesPerNumber = 8
)

func effectKind(e Effect) int {
	switch e.(type) {
	case Reply:
		return 1
	case AdmitSession:
		return 2
	case CloseSession:
		return 3
	case StartAttempt:
		return 4
	case FetchPage:
		return 5
	case CancelAttempt:
		return 6
	case CancelIfUnsent:
		return 7
	case ReleaseAttempt:
		return 8
	case SetPriority:
		return 9
	case ProbeLoad:
		return 10
	case SendGossip:
		return 11
	case CancelUnsentAttempts:
		return 12
	case CloseEngineConnections:
		return 13
	case EngineEjected, EngineRestored, ResultInvalid:
		return logLineKind
	}
	panic(fmt.Sprintf("effect %T has no number", e))
}

// recorder writes effects and meter calls to a hash. Kinds are encoded as numbers, so that renamed types do not change
// the hash. Integers and booleans take 64 bits, floats are their bit pattern, strings and slices are preceded by their
// length, structs are their fields in order. recorder is also the Meter of the reducer.
type recorder struct{ sum hash.Hash }

func (r recorder) number(v uint64) {
	var buf [bytesPerNumber]byte
	binary.LittleEndian.PutUint64(buf[:], v)
	r.sum.Write(buf[:])
}

func (r recorder) value(v reflect.Value) {
	kind := v.Kind()
	switch {
	case kind == reflect.Bool && v.Bool():
		r.number(1)
	case kind == reflect.Bool:
		r.number(0)
	case v.CanInt():
		r.number(uint64(v.Int()))
	case v.CanUint():
		r.number(v.Uint())
	case v.CanFloat():
		r.number(math.Float64bits(v.Float()))
	case kind == reflect.String:
		r.number(uint64(v.Len()))
		r.sum.Write([]byte(v.String()))
	case kind == reflect.Slice:
		r.number(uint64(v.Len()))
		for i := range v.Len() {
			r.value(v.Index(i))
		}
	case kind == reflect.Struct:
		for i := range v.NumField() {
			r.value(v.Field(i))
		}
	case kind == reflect.Pointer:
		r.value(v.Elem())
	default:
		panic("no encoding for a " + kind.String())
	}
}

// record writes the number of a kind, and values.
func (r recorder) record(kind int, values ...any) {
	r.number(uint64(kind))
	for _, v := range values {
		r.value(reflect.ValueOf(v))
	}
}

func (r recorder) RequestAccepted(q *Request) { r.record(firstMeterKind, q) }

func (r recorder) RequestRejected(k ReplyKind) { r.record(firstMeterKind+1, k) }

func (r recorder) AttemptStarted(class string) { r.record(firstMeterKind+2, class) }

func (r recorder) RequestEnded(s RequestSummary) { r.record(firstMeterKind+3, s) }

func (r recorder) AttemptEnded(s AttemptSummary) { r.record(firstMeterKind+4, s) }

// RequestEndCause is not recorded: the cause follows from the effects.
func (r recorder) RequestEndCause(EndCause) {}

// InvariantViolated is not recorded: it affects no other state.
func (r recorder) InvariantViolated(invariant.Rule) {}
