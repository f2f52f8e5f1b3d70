package mysql

import (
	"errors"
	"testing"
)

// TestFieldErrorWrapsItsCause guards against a FieldError that loses the cause of an invalid value, or exposes the
// cause to the client.
func TestFieldErrorWrapsItsCause(t *testing.T) {
	for field, cause := range map[string]error{
		"allow=0":                 errOutOfRange,
		"replay=a b":              errInvalidCharacter,
		"ref=12":                  errWrongLength,
		"lookup=xxxxxxxxxxxxxxxx": errNotHex,
	} {
		_, err := ParseStatement("/* " + field + " */ SELECT 1")
		fault, ok := errors.AsType[*FieldError](err)
		if !ok || !errors.Is(err, cause) {
			t.Errorf("%s: got %v, want a FieldError caused by %v", field, err, cause)
			continue
		}
		if want := "field " + fault.Field + ": " + fault.Problem; fault.Error() != want {
			t.Errorf("%s: got %q, want %q", field, fault.Error(), want)
		}
	}
}
