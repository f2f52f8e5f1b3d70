package jsontext

import (
	"encoding/json"
	"errors"
	"fmt"
)

// KeyError reports an invalid value in a JSON document.
type KeyError struct {
	Key string // path of the value, as in settings.RequestClasses[0].Effect
	Err error  // cause
}

// Error returns the key and the cause.
func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Err }

// Within returns the error for an enclosing document, in which path is the path of the document of e.
func (e *KeyError) Within(path string) *KeyError {
	return &KeyError{Key: path + "." + e.Key, Err: e.Err}
}

// AsTypeMismatch converts the error that json.Unmarshal returns for a value of the wrong type. ok reports whether err
// is such an error.
func AsTypeMismatch(err error) (mismatch *KeyError, ok bool) {
	typeError, ok := errors.AsType[*json.UnmarshalTypeError](err)
	if !ok {
		return nil, false
	}
	return &KeyError{Key: typeError.Field, Err: fmt.Errorf("unexpected JSON %s", typeError.Value)}, true
}
