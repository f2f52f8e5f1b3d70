package resp

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wheatlane/control/loadreport"
	"wheatlane/internal/loadfields"
)

func TestParseResponse(t *testing.T) {
	for name, c := range map[string]struct {
		parts []string
		want  Response
		err   error
	}{
		"ok": {
			parts: []string{"7", "OK", "sheets=3,toil=12.5,room=96,new=1,l=queue:1;x1:0.5", "a\tb\tc\n"},
			want: Response{
				RequestID: "7", Kind: OK, PageCount: 3, Work: 12500 * time.Microsecond, MemoryMB: 96, Load: "queue:1;x1:0.5",
				Body: []byte("a\tb\tc\n"),
			},
		},
		"page": {
			parts: []string{"7", "ROWS", "sheet=2", "x"},
			want:  Response{RequestID: "7", Kind: Rows, Page: 2, Body: []byte("x")},
		},
		"no fields": {
			parts: []string{"7", "VOID", "-", ""}, want: Response{RequestID: "7", Kind: Void, Body: []byte{}},
		},
		// A missing number of pages must not be read as that of a result of one page.
		"no page count": {
			parts: []string{"7", "OK", "-", "x"}, want: Response{RequestID: "7", Kind: OK, Body: []byte("x")},
		},
		"other name": {
			parts: []string{"7", "OK", "sheers=3", "x"}, want: Response{RequestID: "7", Kind: OK, Body: []byte("x")},
		},
		// A part that is missing must not be read as an empty one: the result would lose its rows.
		"no body":            {parts: []string{"7", "OK", "sheets=1"}, err: ErrMalformed},
		"page without body":  {parts: []string{"7", "ROWS", "sheet=2"}, err: ErrMalformed},
		"no fields part":     {parts: []string{"7", "OK"}, err: ErrMalformed},
		"only kind":          {parts: []string{"7", "BUSY"}, err: ErrMalformed},
		"one part":           {parts: []string{"7"}, err: ErrMalformed},
		"no parts":           {parts: []string{}, err: ErrMalformed},
		"five parts":         {parts: []string{"7", "OK", "sheets=1", "", ""}, err: ErrMalformed},
		"unknown kind":       {parts: []string{"7", "WHAT", "-", ""}, err: ErrMalformed},
		"no field value":     {parts: []string{"7", "OK", "sheets", ""}, err: ErrMalformed},
		"invalid page count": {parts: []string{"7", "OK", "sheets=x", ""}, err: ErrMalformed},
		// Quantities that would permanently corrupt averages.
		"work NaN":        {parts: []string{"7", "OK", "sheets=1,toil=NaN", ""}, err: ErrMalformed},
		"infinite work":   {parts: []string{"7", "OK", "sheets=1,toil=+Inf", ""}, err: ErrMalformed},
		"negative memory": {parts: []string{"7", "OK", "sheets=1,room=-1", ""}, err: ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			parts := make([][]byte, 0, len(c.parts))
			for _, part := range c.parts {
				parts = append(parts, []byte(part))
			}
			got, err := ParseResponse(parts)
			if !errors.Is(err, c.err) {
				t.Fatalf("got error %v, want %v", err, c.err)
			}
			if diff := cmp.Diff(c.want, got); err == nil && diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestParseReport(t *testing.T) {
	layout := loadfields.Layout{"queue", "inflight", "x1"}
	complete := loadreport.Report{Reported: true, RequestsInFlight: 2, Utilization: 0.5}
	for load, want := range map[string]loadreport.Report{
		"queue:9;inflight:2;x1:0.5":       complete,
		"x1:0.5;new:9;queue:9;inflight:2": complete,
		"queue:2;inflight:2":              {},
		"queue:2;inflight:2;x1:?":         {},
		"":                                {},
		"queue:NaN;inflight:2;x1:0.5":     {},
		"queue:2;inflight:2;x1:-1":        {},
		"queue:2;inflight:2;x1:1e300":     {},
	} {
		t.Run(load, func(t *testing.T) {
			if diff := cmp.Diff(want, ParseReport(load, layout)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
