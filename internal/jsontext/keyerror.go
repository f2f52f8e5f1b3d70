package jsontext

import (
	"encoding/json"
	"errors"
	"fmt"
)

// KeyError is the error of a value in a JSON document.
type KeyError struct {
	Key string // path of the value, as in settings.RequestClasses[0].Effect
	Err error  // what is wrong with the value
}

// Error names the key, then what is wrong with its value.
func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns what is wrong with the value.
func (e *KeyError) Unwrap() error { return e.Err }

// Within returns the error for a document in which the value's object stands at a path.
func (e *KeyError) Within(path string) *KeyError {
	return &KeyError{Key: path + "." + e.Key, Err: e.Err}
}

// AsTypeMismatch converts an error of json.Unmarshal for a value of the wrong type. ok is false for any other error.
func AsTypeMismatch(err error) (mismatch *KeyError, ok bool) {
	typeError, ok := errors.AsType[*json.UnmarshalTypeError](err)
	if !ok {
		return nil, false
	}
	return &KeyError{Key: typeError.Field, Err: fmt.Errorf("a JSON %s does not belong here", typeError.Value)}, true
}
