package changelog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"wheatlane/internal/jsontext"
)

// Keys of a page on the wire.
const (
	keyRevision  = "seq"
	keyChanges   = "results"
	keyList      = "fleet" // absent if a change is of another kind
	keySnapshot  = "whole"
	keyEndpoints = "hosts"
)

// errTrailingText reports text after a page.
var errTrailingText = errors.New("text after the page")

// ParsePage parses a page. Events of unknown kinds are ignored. A page with a revision must have a list of events, and
// a change a list of engines: without them, events would be lost, or all engines removed. The error for an invalid or
// missing value is a *jsontext.KeyError. A page takes little more memory than its result while it is parsed: lists of
// thousands of engines come while clients use up the rest.
func ParsePage(text []byte) (Page, error) {
	p := pageParser{decoder: json.NewDecoder(bytes.NewReader(text)), names: map[string]string{}}
	page, err := p.parsePage()
	if err == nil {
		err = p.expectEnd()
	}
	if keyError, ok := errors.AsType[*jsontext.KeyError](err); ok {
		return Page{}, keyError
	}
	if err != nil {
		return Page{}, fmt.Errorf("decode change log page: %w", err)
	}
	return page, nil
}

// pageParser parses a page value by value. A method that parses a value returns a *jsontext.KeyError for one of the
// wrong type, with the key as seen from that value.
type pageParser struct {
	decoder *json.Decoder
	names   map[string]string // names that many engines share, each kept once
}

func (p *pageParser) parsePage() (page Page, err error) {
	hasChanges := false
	err = p.parseObject(func(key string) error {
		switch key {
		case keyRevision:
			return p.parseValue(key, &page.Revision)
		case keyChanges:
			present, err := p.parseArray(key, func(int) error {
				change, isList, err := p.parseChange()
				if isList {
					page.Changes = append(page.Changes, change)
				}
				return err
			})
			hasChanges = present
			return err
		}
		return p.skipValue()
	})
	if err == nil && !hasChanges && page.Revision != 0 {
		err = &jsontext.KeyError{Key: keyChanges, Err: errMissing}
	}
	return page, err
}

// parseChange parses one event. isList is false if it is of another kind.
func (p *pageParser) parseChange() (change Change, isList bool, err error) {
	err = p.parseObject(func(key string) error {
		switch key {
		case keyRevision:
			return p.parseValue(key, &change.Revision)
		case keyList:
			isList, err = p.parseList(&change)
			return within(err, key)
		}
		return p.skipValue()
	})
	return change, isList, err
}

// parseList parses the list of a change. present is false if it is null.
func (p *pageParser) parseList(change *Change) (present bool, err error) {
	hasEndpoints := false
	present, err = p.parseOptionalObject(func(key string) error {
		switch key {
		case keySnapshot:
			return p.parseValue(key, &change.Snapshot)
		case keyEndpoints:
			hasEndpoints, err = p.parseArray(key, func(int) error { return p.parseEndpoint(change) })
			return err
		}
		return p.skipValue()
	})
	if err == nil && present && !hasEndpoints {
		err = &jsontext.KeyError{Key: keyEndpoints, Err: errMissing}
	}
	return present, err
}

func (p *pageParser) parseEndpoint(change *Change) error {
	var document endpointDocument
	if err := p.decode(&document); err != nil {
		return err
	}
	document.Zone, document.Kind = p.shared(document.Zone), p.shared(document.Kind)
	endpoint, err := document.endpoint()
	if err != nil {
		return err
	}
	change.Endpoints = append(change.Endpoints, endpoint)
	return nil
}

// shared returns a name, of which only one copy is kept.
func (p *pageParser) shared(name string) string {
	if known, ok := p.names[name]; ok {
		return known
	}
	p.names[name] = name
	return name
}

// parseObject parses an object. member is called after each key and parses its value.
func (p *pageParser) parseObject(member func(key string) error) error {
	present, err := p.parseOptionalObject(member)
	if err == nil && !present {
		return nil // null leaves all values unset
	}
	return err
}

// parseOptionalObject is parseObject for an object that may be null; present is false then.
func (p *pageParser) parseOptionalObject(member func(key string) error) (present bool, err error) {
	if present, err = p.open(json.Delim('{')); !present || err != nil {
		return false, err
	}
	for p.decoder.More() {
		token, err := p.decoder.Token()
		if err != nil {
			return false, err
		}
		key, _ := token.(string) // a key is a string
		if err := member(key); err != nil {
			return false, err
		}
	}
	_, err = p.decoder.Token() // the end of the object
	return true, err
}

// parseArray parses the array of a key, which may be null; present is false then. item is called for each index and
// parses the value.
func (p *pageParser) parseArray(key string, item func(index int) error) (present bool, err error) {
	if present, err = p.open(json.Delim('[')); !present || err != nil {
		return false, within(err, key)
	}
	for index := 0; p.decoder.More(); index++ {
		if err := item(index); err != nil {
			return false, within(err, fmt.Sprintf("%s[%d]", key, index))
		}
	}
	_, err = p.decoder.Token() // the end of the array
	return true, err
}

// open parses the start of an object or array. present is false for null.
func (p *pageParser) open(want json.Delim) (present bool, err error) {
	token, err := p.decoder.Token()
	switch {
	case err != nil:
		return false, err
	case token == nil:
		return false, nil
	case token != want:
		return false, &jsontext.KeyError{Err: fmt.Errorf("unexpected JSON %s", kindOf(token))}
	}
	return true, nil
}

// kindOf names the kind of a token in messages.
func kindOf(token json.Token) string {
	switch token := token.(type) {
	case json.Delim:
		if token == '{' {
			return "object"
		}
		return "array"
	case string:
		return "string"
	case bool:
		return "bool"
	}
	return "number"
}

// parseValue parses the value of a key into target.
func (p *pageParser) parseValue(key string, target any) error { return within(p.decode(target), key) }

// skipValue parses a value that is not needed.
func (p *pageParser) skipValue() error {
	var value json.RawMessage
	return p.decode(&value)
}

// decode parses a value into target.
func (p *pageParser) decode(target any) error {
	err := p.decoder.Decode(target)
	if mismatch, ok := jsontext.AsTypeMismatch(err); ok {
		return mismatch
	}
	return err
}

// expectEnd returns an error if text follows the page.
func (p *pageParser) expectEnd() error {
	switch _, err := p.decoder.Token(); {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return err
	}
	return errTrailingText
}

// within puts a key ahead of the key of an error, if it has one.
func within(err error, key string) error {
	keyError, ok := errors.AsType[*jsontext.KeyError](err)
	if !ok {
		return err
	}
	if keyError.Key == "" {
		return &jsontext.KeyError{Key: key, Err: keyError.Err}
	}
	return keyError.Within(key)
}
