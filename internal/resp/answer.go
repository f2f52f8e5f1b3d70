package resp

import (
	"fmt"
	"strconv"
	"strings"

	"wheatlane/control/loadreport"
	"wheatlane/internal/loadfields"
)

// Word says what an answer means.
type Word int

// The words of an answer.
const (
	OK   Word = iota + 1 // executed
	Busy                 // at capacity: the request was never executed
	Err                  // failed: it may have been executed; also for a page that the engine doesn't have
	Void                 // over before it began: it was never executed
	Rows                 // a page of a result
	Up                   // answers a probe: the engine takes requests
	Down                 // answers a probe: it doesn't
)

// words holds each Word as it stands on the wire.
var words = map[string]Word{
	"OK":   OK,
	"BUSY": Busy,
	"ERR":  Err,
	"VOID": Void,
	"ROWS": Rows,
	"UP":   Up,
	"DOWN": Down,
}

// The names of the fields of an answer on the wire.
const (
	fieldPageCount = "sheets"
	fieldPage      = "sheet"
	fieldWork      = "toil"
	fieldMemory    = "room"
	fieldLoad      = "l"

	noFields = "-" // stands where an answer has no fields
)

// maxFigure is more than any work in milliseconds, memory in MB or load that an engine can report.
const maxFigure = 1e9

// Answer is a message of an engine.
type Answer struct {
	RequestID string
	Word      Word
	PageCount int     // pages of the result, with OK; 1 where the answer doesn't say
	Page      int     // number of the page, with Rows
	WorkMS    float64 // work that the request took
	MemoryMB  float64 // memory that the request needed
	Load      string  // load report, to be read by Report; empty: none
	Body      []byte  // points into the message
}

// ParseAnswer reads an answer from the parts of a message. Unknown fields are passed over; its error is
// ErrMalformed.
func ParseAnswer(parts [][]byte) (Answer, error) {
	if len(parts) < 2 || len(parts) > 4 {
		return Answer{}, fmt.Errorf("%w: an answer of %d parts", ErrMalformed, len(parts))
	}
	a := Answer{RequestID: string(parts[0]), Word: words[string(parts[1])], PageCount: 1}
	if a.Word == 0 {
		return a, fmt.Errorf("%w: unknown word %.20q", ErrMalformed, parts[1])
	}
	if len(parts) > 3 {
		a.Body = parts[3]
	}
	if len(parts) < 3 || string(parts[2]) == noFields || len(parts[2]) == 0 {
		return a, nil
	}
	for field := range strings.SplitSeq(string(parts[2]), ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok || a.setField(name, value) != nil {
			return a, fmt.Errorf("%w: field %.40q", ErrMalformed, field)
		}
	}
	return a, nil
}

// setField reads the value of one field.
func (a *Answer) setField(name, value string) (err error) {
	switch name {
	case fieldPageCount:
		a.PageCount, err = strconv.Atoi(value)
	case fieldPage:
		a.Page, err = strconv.Atoi(value)
	case fieldWork:
		a.WorkMS, err = parseFigure(value)
	case fieldMemory:
		a.MemoryMB, err = parseFigure(value)
	case fieldLoad:
		a.Load = value
	}
	return err
}

// parseFigure reads a number from 0 to maxFigure. Others, NaN among them, would spread to every average that
// an engine's figures are learned into, and stay there.
func parseFigure(value string) (float64, error) {
	v, err := strconv.ParseFloat(value, 64)
	if err == nil && !(v >= 0 && v <= maxFigure) {
		err = fmt.Errorf("%w: figure %.20q", ErrMalformed, value)
	}
	return v, err
}

// Report reads a load report; there is none if one of the fields that the settings name is missing or can't be
// used.
func Report(load string, layout loadfields.Layout) loadreport.Report {
	values := make([]float64, 0, len(layout))
	for _, field := range layout {
		value, ok := reportField(load, field)
		if !ok {
			return loadreport.Report{}
		}
		v, err := parseFigure(value)
		if err != nil {
			return loadreport.Report{}
		}
		values = append(values, v)
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
