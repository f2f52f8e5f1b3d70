package mysql

import (
	"errors"
	"testing"
)

// The error of a field wraps why its value can't be used, and does not show that to the client.
func TestFieldErrorWrapsItsCause(t *testing.T) {
	for field, cause := range map[string]error{
		"allow=0":                 errOutOfRange,
		"replay=a b":              errCharacter,
		"ref=12":                  errLength,
		"lookup=xxxxxxxxxxxxxxxx": errNoHex,
	} {
		_, err := ParseStatement("/* " + field + " */ SELECT 1")
		fault, ok := errors.AsType[*FieldError](err)
		if !ok || !errors.Is(err, cause) {
			t.Errorf("%s: got %v, want %v as its cause", field, err, cause)
			continue
		}
		if want := "field " + fault.Field + ": " + fault.Problem; fault.Error() != want {
			t.Errorf("%s: got %q, want %q", field, fault.Error(), want)
		}
	}
}
