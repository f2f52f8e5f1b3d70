package ring

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestBytesAreReturnedInOrder guards against bytes that are lost or reordered where the buffer wraps or grows, and
// against growth over the limit, with a random mix of writes, reads and discards.
func TestBytesAreReturnedInOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	b, buffered, next := New(5000), []byte{}, byte(0)
	for range 3000 {
		p := make([]byte, rng.IntN(700))
		for i := range p {
			p[i] = next + byte(i)
		}
		var n int
		var err error
		if rng.IntN(2) == 0 {
			n, err = b.Write(p)
		} else if n, err = b.ReadOnce(bytes.NewReader(p)); len(p) == 0 {
			err = nil
		}
		if err != nil && (!errors.Is(err, ErrFull) || len(buffered)+len(p) <= 5000) {
			t.Fatalf("adding %d bytes to %d: got error %v, want nil, or ErrFull above the limit", len(p), len(buffered), err)
		}
		buffered, next = append(buffered, p[:n]...), next+byte(n)
		head, tail := b.Segments()
		if got := append(bytes.Clone(head), tail...); !bytes.Equal(got, buffered) || !bytes.Equal(b.Bytes(), buffered) {
			t.Fatal(cmp.Diff(buffered, got))
		}
		d := rng.IntN(len(buffered) + 1)
		b.Discard(d)
		buffered = buffered[d:]
		if b.Len() != len(buffered) || len(b.data) > 5000 {
			t.Fatalf("holds %d bytes, want %d, in %d bytes of memory", b.Len(), len(buffered), len(b.data))
		}
	}
}

func TestEmptyBufferReleasesMemory(t *testing.T) {
	b := New(1 << 20)
	if _, err := b.Write([]byte(strings.Repeat("x", 1<<19))); err != nil {
		t.Fatal(err)
	}
	if b.Discard(1 << 19); b.data != nil {
		t.Fatalf("an empty buffer retains %d bytes of memory", len(b.data))
	}
}
