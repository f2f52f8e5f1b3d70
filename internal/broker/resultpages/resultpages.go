// Package resultpages assembles and validates the result of an attempt from its pages, which may arrive in any order.
package resultpages

import (
	"bytes"
	"errors"
	"unicode/utf8"
)

// Limits of the protocol.
const (
	MaxResultBytes = 48000 // total size of the pages of a result
	MaxPageBytes   = 6000  // size of a page
	MaxPages       = 64    // pages of a result: engines fill pages, so two successive pages exceed MaxPageBytes together
	rowColumns     = 3     // columns of every row
)

// Errors that make a result invalid.
var (
	ErrInvalidFirstPage = errors.New("invalid first page of a result")
	ErrInvalidPage      = errors.New("invalid page of a result")
	ErrPageTimeout      = errors.New("timeout of a page of a result")
)

// Assembler collects the pages of a result, beginning with the first. It is not safe for concurrent use.
type Assembler struct {
	pages   [][]byte // nil: not received
	missing int      // number of pages not received
	bytes   int      // total size of the pages received
}

// New returns an Assembler for a result of pageCount pages whose first page was received. It returns
// ErrInvalidFirstPage if the page count or the page is invalid.
func New(pageCount int, first []byte) (*Assembler, error) {
	if pageCount < 1 || pageCount > MaxPages || !valid(first) {
		return nil, ErrInvalidFirstPage
	}
	a := &Assembler{pages: make([][]byte, pageCount), missing: pageCount - 1, bytes: len(first)}
	a.pages[0] = nonNil(first)
	return a, nil
}

// Add adds a page by its number, from 0, and ignores an equal duplicate. It returns ErrInvalidPage if the number or the
// page is invalid, the page differs from an earlier one of the same number, or the result exceeds MaxResultBytes.
func (a *Assembler) Add(number int, page []byte) error {
	if number < 0 || number >= len(a.pages) {
		return ErrInvalidPage
	}
	if a.pages[number] != nil && bytes.Equal(a.pages[number], page) {
		return nil
	}
	a.bytes += len(page)
	if a.pages[number] != nil || !valid(page) || a.bytes > MaxResultBytes {
		return ErrInvalidPage
	}
	a.pages[number] = nonNil(page)
	a.missing--
	return nil
}

// Missing returns the number of pages that were not received.
func (a *Assembler) Missing() int { return a.missing }

// Complete reports whether all pages were received.
func (a *Assembler) Complete() bool { return a.missing == 0 }

// Pages returns the pages in order, with nil for each page that was not received.
func (a *Assembler) Pages() [][]byte { return a.pages }

// nonNil returns page, or an empty slice if page is nil, as a nil page counts as not received.
func nonNil(page []byte) []byte {
	if page == nil {
		return []byte{}
	}
	return page
}

// valid reports whether a page is valid UTF-8 of at most MaxPageBytes and consists of complete rows.
func valid(page []byte) bool {
	if len(page) > MaxPageBytes || !utf8.Valid(page) {
		return false
	}
	for len(page) > 0 {
		row, rest, ended := bytes.Cut(page, []byte{'\n'})
		if !ended || bytes.Count(row, []byte{'\t'}) != rowColumns-1 {
			return false
		}
		page = rest
	}
	return true
}
