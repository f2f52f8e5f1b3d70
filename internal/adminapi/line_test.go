package adminapi

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// However the bytes of a connection are split, the line and its error are the same, and nothing panics.
func TestLineSplitsAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.SampledFrom([]byte("ab \n\r\xffset-downcheck")), 0, 2*MaxLineBytes).Draw(t, "text")
		wantLine, wantComplete, wantErr := feedAll([][]byte{text})
		var parts [][]byte
		for rest := text; len(rest) > 0; {
			cut := rapid.IntRange(1, len(rest)).Draw(t, "cut")
			parts, rest = append(parts, rest[:cut]), rest[cut:]
		}
		line, complete, err := feedAll(parts)
		if string(line) != string(wantLine) || complete != wantComplete || !errors.Is(err, wantErr) {
			t.Fatalf("split %q: %q %v %v, in one: %q %v %v",
				parts, line, complete, err, wantLine, wantComplete, wantErr)
		}
		if complete {
			_, _ = Parse(line) // only that it does not panic is tested here
		}
	})
}

// feedAll feeds a buffer with parts until it has its line or an error.
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
