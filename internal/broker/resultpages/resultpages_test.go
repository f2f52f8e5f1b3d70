package resultpages

import (
	"bytes"
	"errors"
	"testing"
)

var row = []byte("a\tb\tc\n")

// page is a page passed to Add.
type page struct {
	number int
	body   []byte
}

func TestAssembler(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		count    int
		first    []byte
		pages    []page
		err      error
		complete bool
	}{
		"one page":               {1, row, nil, nil, true},
		"no rows":                {1, nil, nil, nil, true},
		"any order":              {3, row, []page{{2, row}, {1, nil}}, nil, true},
		"incomplete":             {3, row, []page{{2, row}}, nil, false},
		"equal duplicate":        {2, row, []page{{1, row}, {1, row}, {0, row}}, nil, true},
		"differing duplicate":    {3, row, []page{{1, row}, {1, nil}}, ErrInvalidPage, false},
		"number out of range":    {2, row, []page{{2, row}}, ErrInvalidPage, false},
		"no pages":               {0, row, nil, ErrInvalidFirstPage, false},
		"too many pages":         {MaxPages + 1, row, nil, ErrInvalidFirstPage, false},
		"missing column":         {1, []byte("a\tb\n"), nil, ErrInvalidFirstPage, false},
		"incomplete row":         {2, row, []page{{1, []byte("a\tb\tc")}}, ErrInvalidPage, false},
		"invalid UTF-8":          {2, row, []page{{1, []byte("a\tb\t\xff\n")}}, ErrInvalidPage, false},
		"page too long":          {1, bytes.Repeat(row, MaxPageBytes/len(row)+1), nil, ErrInvalidFirstPage, false},
		"result of maximum size": {8, full(), pages(7, full()), nil, true},
		"result too large":       {9, full(), pages(8, full()), ErrInvalidPage, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, err := New(c.count, c.first)
			for _, p := range c.pages {
				if err == nil {
					err = a.Add(p.number, p.body)
				}
			}
			if !errors.Is(err, c.err) {
				t.Fatalf("error %v, want %v", err, c.err)
			}
			if err == nil && a.Complete() != c.complete {
				t.Errorf("complete is %v, want %v; %d pages are missing", a.Complete(), c.complete, a.Missing())
			}
		})
	}
}

// full returns a page of the maximum size.
func full() []byte { return bytes.Repeat(row, MaxPageBytes/len(row)) }

// pages returns n pages with equal bodies that follow the first page.
func pages(n int, body []byte) []page {
	all := make([]page, 0, n)
	for number := range n {
		all = append(all, page{number + 1, body})
	}
	return all
}
