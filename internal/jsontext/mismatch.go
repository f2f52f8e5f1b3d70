package jsontext

import (
	"encoding/json"
	"errors"
	"fmt"
)

// MismatchError is the error of a JSON value of the wrong type.
type MismatchError struct {
	Key   string // path of the value
	Value string // what it is in JSON: object, string, ...
}

// Error names the key and what stands there.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("%s: a JSON %s does not belong here", e.Key, e.Value)
}

// AsMismatch converts an error of json.Unmarshal for a value of the wrong type; prefix is put ahead of its key.
// ok is false for any other error.
func AsMismatch(prefix string, err error) (mismatch *MismatchError, ok bool) {
	typeError, ok := errors.AsType[*json.UnmarshalTypeError](err)
	if !ok {
		return nil, false
	}
	return &MismatchError{Key: prefix + typeError.Field, Value: typeError.Value}, true
}
