package mysql

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// payloads splits b into the payloads of its packets and checks that the sequence numbers count up from 1.
func payloads(t *testing.T, b []byte) (out [][]byte) {
	t.Helper()
	for want := byte(1); len(b) > 0; want++ {
		size := int(b[0]) | int(b[1])<<8 | int(b[2])<<16
		if b[3] != want {
			t.Fatalf("sequence number %d, want %d", b[3], want)
		}
		out, b = append(out, b[HeaderLen:HeaderLen+size]), b[HeaderLen+size:]
	}
	return out
}

// columnsOf splits the payload of a row into columns.
func columnsOf(row []byte) (columns []string) {
	for len(row) > 0 {
		n, prefix := int(row[0]), 1
		if n == twoByteLength {
			n, prefix = int(row[1])|int(row[2])<<8, 3
		}
		columns, row = append(columns, string(row[prefix:prefix+n])), row[prefix+n:]
	}
	return columns
}

// TestAppendResult guards against rows that are lost, changed or reordered where a page ends, a long column needs a
// longer length prefix or the sequence number wraps. A result ends with EOF.
func TestAppendResult(t *testing.T) {
	const rowCount = 400 // enough for the sequence number to wrap
	rows := make([]string, 0, rowCount)
	pages := [][]byte{nil, {}, nil}
	for i := range rowCount {
		row := "r\t\t" + strings.Repeat("y", i%5)
		if i == 7 {
			row = strings.Repeat("x", 300) + "\tb\tc"
		}
		rows = append(rows, row)
		pages[i/200*2] = append(pages[i/200*2], row+"\n"...)
	}
	got := payloads(t, AppendResult(nil, 1, pages))
	if len(got) != 1+ColumnCount+1+rowCount+1 || got[0][0] != ColumnCount {
		t.Fatalf("got %d packets, want %d", len(got), 1+ColumnCount+1+rowCount+1)
	}
	for _, i := range []int{1 + ColumnCount, len(got) - 1} {
		if !bytes.Equal(got[i], []byte{0xfe, 0, 0, autocommit, 0}) {
			t.Fatalf("packet %d is not EOF: %v", i, got[i])
		}
	}
	for i, row := range got[2+ColumnCount : len(got)-1] {
		if diff := cmp.Diff(rows[i], strings.Join(columnsOf(row), "\t")); diff != "" {
			t.Fatalf("row %d: %s", i, diff)
		}
	}
}

func TestAppendError(t *testing.T) {
	got := payloads(t, AppendError(nil, 1, CodeUserLimitReached, "no room; cooldown=250"))
	if want := "\xff\xca\x04#42000no room; cooldown=250"; string(got[0]) != want {
		t.Fatalf("got %q, want %q", got[0], want)
	}
}
