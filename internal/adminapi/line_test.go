package adminapi

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// TCP may deliver a line in any fragments: the line and the error don't depend on the fragmentation, and Parse doesn't
// panic on the line.
func TestLineIsIndependentOfFragmentation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.SampledFrom([]byte("ab \n\r\xffset-downcheck")), 0, 2*MaxLineBytes).Draw(t, "text")
		wantLine, wantComplete, wantErr := feedAll([][]byte{text})
		var parts [][]byte
		for remaining := text; len(remaining) > 0; {
			size := rapid.IntRange(1, len(remaining)).Draw(t, "size")
			parts, remaining = append(parts, remaining[:size]), remaining[size:]
		}
		line, complete, err := feedAll(parts)
		if string(line) != string(wantLine) || complete != wantComplete || !errors.Is(err, wantErr) {
			t.Fatalf("fragments %q: got %q, %v, %v; unfragmented: %q, %v, %v",
				parts, line, complete, err, wantLine, wantComplete, wantErr)
		}
		if complete {
			_, _ = Parse(line) // tests only that Parse does not panic
		}
	})
}

// feedAll feeds parts to a buffer until it returns a line or an error.
func feedAll(parts [][]byte) (line []byte, complete bool, err error) {
	var l lineBuffer
	for _, part := range parts {
		line, complete, err := l.feed(part)
		if err != nil {
			return nil, false, ErrTooLong
		}
		if complete {
			return line, true, nil
		}
	}
	return nil, false, nil
}
