package jsontext

import (
	"encoding/json"
	"errors"
	"testing"
)

func TestAsTypeMismatchNamesTheKey(t *testing.T) {
	var document struct {
		Limits struct{ Sockets int }
	}
	err := json.Unmarshal([]byte(`{"Limits":{"Sockets":"many"}}`), &document)
	mismatch, ok := AsTypeMismatch(err)
	if !ok {
		t.Fatalf("%v is not reported as a type mismatch", err)
	}
	const want = "settings.Limits.Sockets: unexpected JSON string"
	if got := mismatch.Within("settings").Error(); got != want {
		t.Errorf("error %q, want %q", got, want)
	}
	if _, ok := AsTypeMismatch(errors.New("another error")); ok {
		t.Error("another error is reported as a type mismatch")
	}
}

func TestKeyErrorWrapsItsCause(t *testing.T) {
	cause := errors.New("required key is missing")
	if err := error((&KeyError{Key: "listen", Err: cause}).Within("file")); !errors.Is(err, cause) {
		t.Errorf("%v does not wrap its cause", err)
	}
}
