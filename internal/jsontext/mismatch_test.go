package jsontext

import (
	"encoding/json"
	"errors"
	"testing"
)

func TestAsMismatchNamesTheKey(t *testing.T) {
	var document struct {
		Limits struct{ Sockets int }
	}
	err := json.Unmarshal([]byte(`{"Limits":{"Sockets":"many"}}`), &document)
	mismatch, ok := AsMismatch("settings.", err)
	if !ok {
		t.Fatalf("%v is no mismatch", err)
	}
	const want = "settings.Limits.Sockets: a JSON string does not belong here"
	if got := mismatch.Error(); got != want {
		t.Errorf("error %q, want %q", got, want)
	}
	if _, ok := AsMismatch("", errors.New("another error")); ok {
		t.Error("another error was taken for a mismatch")
	}
}
