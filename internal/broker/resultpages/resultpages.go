// Package resultpages assembles the result of an attempt from its pages, which may come in any order.
package resultpages

import (
	"bytes"
	"errors"
	"unicode/utf8"
)

// The sizes that the protocol allows.
const (
	MaxResultBytes = 48000 // of a result, all its pages together
	MaxPageBytes   = 6000
	MaxPages       = 64 // of a result: engines fill pages, so two in a row hold over MaxPageBytes together
	rowColumns     = 3  // of every row
)

// Errors of a result.
var (
	ErrInvalidFirstPage = errors.New("invalid first page of a result")
	ErrInvalidPage      = errors.New("invalid page of a result")
	ErrPageTimeout      = errors.New("timeout of a page of a result")
)

// Assembler is a result whose first page was received.
type Assembler struct {
	pages   [][]byte // nil: not received
	missing int      // number of pages not received
	bytes   int      // of the pages received
}

// New returns the assembly of a result of pageCount pages, with its first one. The error is ErrInvalidFirstPage.
func New(pageCount int, first []byte) (*Assembler, error) {
	if pageCount < 1 || pageCount > MaxPages || !valid(first) {
		return nil, ErrInvalidFirstPage
	}
	a := &Assembler{pages: make([][]byte, pageCount), missing: pageCount - 1, bytes: len(first)}
	a.pages[0] = nonNil(first)
	return a, nil
}

// Add adds a page by its number, from 0. An equal duplicate is ignored. The error is ErrInvalidPage.
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

// Missing is the number of pages that were not received.
func (a *Assembler) Missing() int { return a.missing }

// Complete reports whether all pages were received.
func (a *Assembler) Complete() bool { return a.missing == 0 }

// Pages are the pages in their order; nil in place of those not received.
func (a *Assembler) Pages() [][]byte { return a.pages }

// nonNil distinguishes an empty page from one that was not received.
func nonNil(page []byte) []byte {
	if page == nil {
		return []byte{}
	}
	return page
}

// valid reports whether a page is text in complete rows, as engines send it.
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
