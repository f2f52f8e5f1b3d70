package collectd

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"
)

var testLevels = []Level{Plain, Sign, Encrypt}

func testSecurity(l Level) Security { return Security{Level: l, User: "chart", Password: "grønt lys"} }

func testReader(l Level) *Reader {
	return &Reader{MinLevel: l, Passwords: func(u string) (string, bool) { return "grønt lys", u == "chart" }}
}

// A collector accepts packets of its minimum level and of higher levels only.
func TestMinimumLevel(t *testing.T) {
	for _, sent := range testLevels {
		for _, required := range testLevels {
			t.Run(fmt.Sprintf("sent %d, required %d", sent, required), func(t *testing.T) {
				got, err := testReader(required).Parse(pack(t, testSecurity(sent), oneValue())[0])
				if sent >= required && (err != nil || len(got) != 1) {
					t.Errorf("got %v, error %v, want one list", got, err)
				}
				if sent < required && (!errors.Is(err, ErrInsufficientSecurity) || len(got) != 0) {
					t.Errorf("got %v, error %v, want %v", got, err, ErrInsufficientSecurity)
				}
			})
		}
	}
}

// A protected packet is rejected if any of its bytes is changed, or if its user is unknown.
func TestChangedPacketsAndUnknownUsersAreRejected(t *testing.T) {
	for _, level := range []Level{Sign, Encrypt} {
		t.Run(fmt.Sprint("level ", level), func(t *testing.T) {
			packet := pack(t, testSecurity(level), oneValue())[0]
			if bytes.Contains(packet, []byte("wheatlane")) != (level == Sign) {
				t.Error("content of a signed packet is not readable, or that of an encrypted packet is")
			}
			for i := range packet {
				changed := bytes.Clone(packet)
				changed[i] ^= 0x40
				if got, err := testReader(level).Parse(changed); err == nil || len(got) != 0 {
					t.Errorf("packet with byte %d changed is accepted: %v, %v", i, got, err)
				}
			}
			withoutUsers := &Reader{Passwords: func(string) (string, bool) { return "", false }}
			if _, err := withoutUsers.Parse(packet); !errors.Is(err, ErrUnknownUser) {
				t.Errorf("packet of an unknown user: got error %v, want %v", err, ErrUnknownUser)
			}
		})
	}
}

func oneValue() ValueList {
	return ValueList{
		Host: "n1", Plugin: "wheatlane", Type: "t", Time: time.Hour, Values: []Value{{Kind: Derive, Count: 1}},
	}
}
