package mysql

import (
	"errors"
	"testing"
)

// TestParsePacketSplitAtEveryByte guards against packets that are parsed differently when a read ends within them:
// the input is split at every byte. A packet that is too large is rejected from its header alone.
func TestParsePacketSplitAtEveryByte(t *testing.T) {
	first := AppendOK(nil, 7)
	input := AppendError(first, 1, CodeUserLimitReached, "no room; cooldown=250")
	for prefixLen := range input {
		n := completePackets(t, input[:prefixLen])
		rest := input[n:]
		if n > 0 {
			rest = input[len(first):]
		}
		if packet, size, err := ParsePacket(rest); err != nil || size == 0 || n > 0 && packet.Sequence != 1 {
			t.Fatalf("prefix of %d bytes: next packet has sequence %d, %d bytes, error %v",
				prefixLen, packet.Sequence, size, err)
		}
	}
	if _, _, err := ParsePacket([]byte{1, 0, 1, 0}); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("payload of 65,537 bytes: got error %v, want %v", err, ErrTooLarge)
	}
}

// completePackets returns the total length of the complete packets in b.
func completePackets(t *testing.T, b []byte) int {
	t.Helper()
	n := 0
	for {
		_, size, err := ParsePacket(b[n:])
		if err != nil {
			t.Fatal(err)
		}
		if size == 0 {
			return n
		}
		n += size
	}
}
