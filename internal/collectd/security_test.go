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

// A collector that demands a level accepts that and higher ones.
func TestDemandedLevel(t *testing.T) {
	for _, sent := range testLevels {
		for _, demanded := range testLevels {
			t.Run(fmt.Sprintf("%d where %d is demanded", sent, demanded), func(t *testing.T) {
				got, err := testReader(demanded).Parse(pack(t, testSecurity(sent), oneValue())[0])
				if sent >= demanded && (err != nil || len(got) != 1) {
					t.Error(err)
				}
				if sent < demanded && (!errors.Is(err, ErrInsufficientSecurity) || len(got) != 0) {
					t.Errorf("%v, %v", got, err)
				}
			})
		}
	}
}

// A byte changed anywhere in a protected packet is noticed, and an unknown user is rejected.
func TestProtection(t *testing.T) {
	for _, level := range []Level{Sign, Encrypt} {
		t.Run(fmt.Sprint("level ", level), func(t *testing.T) {
			packet := pack(t, testSecurity(level), oneValue())[0]
			if bytes.Contains(packet, []byte("wheatlane")) != (level == Sign) {
				t.Error("the content can be read, or not")
			}
			for i := range packet {
				changed := bytes.Clone(packet)
				changed[i] ^= 0x40
				if got, err := testReader(level).Parse(changed); err == nil || len(got) != 0 {
					t.Errorf("byte %d changed: %v, %v", i, got, err)
				}
			}
			stranger := &Reader{Passwords: func(string) (string, bool) { return "", false }}
			if _, err := stranger.Parse(packet); !errors.Is(err, ErrUnknownUser) {
				t.Errorf("an unknown user: %v", err)
			}
		})
	}
}

func oneValue() ValueList {
	return ValueList{
		Host: "n1", Plugin: "wheatlane", Type: "t", Time: time.Hour, Values: []Value{{Kind: Derive, Count: 1}},
	}
}
