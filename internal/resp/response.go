package resp

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"wheatlane/control/loadreport"
	"wheatlane/internal/loadfields"
)

// Kind is the kind of a response.
type Kind int

// Kinds of responses.
const (
	OK   Kind = iota + 1 // executed
	Busy                 // at capacity: the request was never executed
	Err                  // failed: the request may have been executed; also sent for a page that the engine lacks
	Void                 // ended before execution began: the request was never executed
	Rows                 // a page of a result
	Up                   // response to a probe: the engine accepts requests
	Down                 // response to a probe: the engine accepts no requests
)

// kindsOnWire maps words on the wire to kinds.
var kindsOnWire = map[string]Kind{
	"OK":   OK,
	"BUSY": Busy,
	"ERR":  Err,
	"VOID": Void,
	"ROWS": Rows,
	"UP":   Up,
	"DOWN": Down,
}

// Indexes of the parts of a response, which has all of them.
const (
	partRequestID = iota
	partKind
	partFields
	partBody
	responseParts // number of parts
)

// Names of response fields on the wire.
const (
	fieldPageCount = "sheets"
	fieldPage      = "sheet"
	fieldWork      = "toil" // milliseconds
	fieldMemory    = "room" // MB
	fieldLoad      = "l"

	noFields = "-" // the fields part of a response without fields
)

// maxQuantity is the limit of reported work in milliseconds, memory in MB and load. It exceeds all that an engine can
// report.
const maxQuantity = 1e9

// Response is a message from an engine.
type Response struct {
	RequestID string
	Kind      Kind
	PageCount int           // number of pages of the result, with OK; 0 if the response does not specify it
	Page      int           // page number, with Rows
	Work      time.Duration // work that the request took
	MemoryMB  float64       // memory that the request needed
	Load      string        // load report for ParseReport; empty: none
	Body      []byte        // points into the message
}

// ParseResponse parses the parts of a message as a response. Unknown fields are ignored. A message without one of the
// parts is malformed: if the missing part counted as empty, a result could lose its rows. The error wraps ErrMalformed.
func ParseResponse(parts [][]byte) (Response, error) {
	if len(parts) != responseParts {
		return Response{}, fmt.Errorf("%w: response with %d parts, want %d", ErrMalformed, len(parts), responseParts)
	}
	response := Response{
		RequestID: string(parts[partRequestID]), Kind: kindsOnWire[string(parts[partKind])], Body: parts[partBody],
	}
	if response.Kind == 0 {
		return response, fmt.Errorf("%w: unknown kind %.20q", ErrMalformed, parts[partKind])
	}
	if string(parts[partFields]) == noFields || len(parts[partFields]) == 0 {
		return response, nil
	}
	for field := range strings.SplitSeq(string(parts[partFields]), ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok || response.setField(name, value) != nil {
			return response, fmt.Errorf("%w: invalid field %.40q", ErrMalformed, field)
		}
	}
	return response, nil
}

// setField parses the value of one field and stores it.
func (r *Response) setField(name, value string) (err error) {
	switch name {
	case fieldPageCount:
		r.PageCount, err = strconv.Atoi(value)
	case fieldPage:
		r.Page, err = strconv.Atoi(value)
	case fieldWork:
		r.Work, err = parseMilliseconds(value)
	case fieldMemory:
		r.MemoryMB, err = parseQuantity(value)
	case fieldLoad:
		r.Load = value
	}
	return err
}

// parseMilliseconds parses a quantity in milliseconds.
func parseMilliseconds(value string) (time.Duration, error) {
	ms, err := parseQuantity(value)
	return time.Duration(ms * float64(time.Millisecond)), err
}

// parseQuantity parses a number from 0 to maxQuantity. Other values, such as NaN, would permanently corrupt the
// averages that include them.
func parseQuantity(value string) (float64, error) {
	quantity, err := strconv.ParseFloat(value, 64)
	if err == nil && !(quantity >= 0 && quantity <= maxQuantity) {
		err = fmt.Errorf("%w: quantity %.20q", ErrMalformed, value)
	}
	return quantity, err
}

// ParseReport parses a load report. It returns an empty report if a field of the layout is missing or malformed.
func ParseReport(load string, layout loadfields.Layout) loadreport.Report {
	values := make([]float64, 0, len(layout))
	for _, field := range layout {
		value, ok := reportField(load, field)
		if !ok {
			return loadreport.Report{}
		}
		quantity, err := parseQuantity(value)
		if err != nil {
			return loadreport.Report{}
		}
		values = append(values, quantity)
	}
	return layout.Report(values)
}

// reportField returns the value of a field in a load report.
func reportField(load, field string) (value string, ok bool) {
	for part := range strings.SplitSeq(load, ";") {
		if name, value, _ := strings.Cut(part, ":"); name == field {
			return value, true
		}
	}
	return "", false
}
