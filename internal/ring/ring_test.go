package ring

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Any mix of writes, reads and discards gives the bytes back in order, within the limit.
func TestBytesComeBackInOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	b, held, next := New(5000), []byte{}, byte(0)
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
		if err != nil && (!errors.Is(err, ErrFull) || len(held)+len(p) <= 5000) {
			t.Fatalf("%d bytes onto %d: %v", len(p), len(held), err)
		}
		held, next = append(held, p[:n]...), next+byte(n)
		one, two := b.Segments()
		if got := append(bytes.Clone(one), two...); !bytes.Equal(got, held) || !bytes.Equal(b.Bytes(), held) {
			t.Fatal(cmp.Diff(held, got))
		}
		d := rng.IntN(len(held) + 1)
		b.Discard(d)
		held = held[d:]
		if b.Len() != len(held) || len(b.data) > 5000 {
			t.Fatalf("holds %d of %d in %d", b.Len(), len(held), len(b.data))
		}
	}
}

func TestEmptyBufferReleasesMemory(t *testing.T) {
	b := New(1 << 20)
	if _, err := b.Write([]byte(strings.Repeat("x", 1<<19))); err != nil {
		t.Fatal(err)
	}
	if b.Discard(1 << 19); b.data != nil {
		t.Fatalf("an empty buffer keeps %d bytes", len(b.data))
	}
}
