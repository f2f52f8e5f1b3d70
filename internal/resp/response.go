package resp

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"wheatlane/control/loadreport"
	"wheatlane/internal/loadfields"
)

// Kind is what a response means.
type Kind int

// The kinds of responses.
const (
	OK   Kind = iota + 1 // executed
	Busy                 // at capacity: the request was never executed
	Err                  // failed: the request may have been executed; also for a page that the engine doesn't have
	Void                 // over before it began: the request was never executed
	Rows                 // a page of a result
	Up                   // responds to a probe: the engine takes requests
	Down                 // responds to a probe: the engine takes none
)

// kindsOnWire are the kinds by the words that stand for them.
var kindsOnWire = map[string]Kind{
	"OK":   OK,
	"BUSY": Busy,
	"ERR":  Err,
	"VOID": Void,
	"ROWS": Rows,
	"UP":   Up,
	"DOWN": Down,
}

// The parts of a response. The last two may be missing.
const (
	partRequestID = iota
	partKind
	partFields
	partBody
)

// The names of the fields of a response on the wire.
const (
	fieldPageCount = "sheets"
	fieldPage      = "sheet"
	fieldWork      = "toil" // milliseconds
	fieldMemory    = "room" // MB
	fieldLoad      = "l"

	noFields = "-" // stands where a response has no fields
)

// maxQuantity is more than any work in milliseconds, memory in MB or load that an engine can report.
const maxQuantity = 1e9

// Response is a message of an engine.
type Response struct {
	RequestID string
	Kind      Kind
	PageCount int           // pages of the result, with OK; 1 where the response names no number
	Page      int           // number of the page, with Rows
	Work      time.Duration // that the request took
	MemoryMB  float64       // that the request needed
	Load      string        // load report, to be read by Report; empty: none
	Body      []byte        // points into the message
}

// ParseResponse reads a response from the parts of a message. Unknown fields are ignored; its error is ErrMalformed.
func ParseResponse(parts [][]byte) (Response, error) {
	if len(parts) <= partKind || len(parts) > partBody+1 {
		return Response{}, fmt.Errorf("%w: a response of %d parts", ErrMalformed, len(parts))
	}
	response := Response{
		RequestID: string(parts[partRequestID]), Kind: kindsOnWire[string(parts[partKind])], PageCount: 1,
	}
	if response.Kind == 0 {
		return response, fmt.Errorf("%w: unknown word %.20q", ErrMalformed, parts[partKind])
	}
	if len(parts) > partBody {
		response.Body = parts[partBody]
	}
	if len(parts) <= partFields || string(parts[partFields]) == noFields || len(parts[partFields]) == 0 {
		return response, nil
	}
	for field := range strings.SplitSeq(string(parts[partFields]), ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok || response.setField(name, value) != nil {
			return response, fmt.Errorf("%w: field %.40q", ErrMalformed, field)
		}
	}
	return response, nil
}

// setField reads the value of one field.
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

// parseMilliseconds reads a quantity in milliseconds.
func parseMilliseconds(value string) (time.Duration, error) {
	ms, err := parseQuantity(value)
	return time.Duration(ms * float64(time.Millisecond)), err
}

// parseQuantity reads a number from 0 to maxQuantity. Others, NaN among them, would spread to every average that they
// are counted in, and stay there.
func parseQuantity(value string) (float64, error) {
	quantity, err := strconv.ParseFloat(value, 64)
	if err == nil && !(quantity >= 0 && quantity <= maxQuantity) {
		err = fmt.Errorf("%w: quantity %.20q", ErrMalformed, value)
	}
	return quantity, err
}

// ParseReport reads a load report. There is none if one of the fields of its layout is missing or malformed.
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

// reportField finds the value of a field in a load report.
func reportField(load, field string) (value string, ok bool) {
	for part := range strings.SplitSeq(load, ";") {
		if name, value, _ := strings.Cut(part, ":"); name == field {
			return value, true
		}
	}
	return "", false
}
