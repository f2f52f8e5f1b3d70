package cardinality

import (
	"testing"

	"pgregory.net/rapid"
)

func TestEscapeIsOneToOne(t *testing.T) {
	for _, name := range []string{
		"", "other", "_", "__", "a.b", "a_2eb", "a/b;c=d e\n", "føroyar", "\xff\x00", "lookup",
	} {
		got, err := Unescape(Escape(name))
		if err != nil || got != name {
			t.Errorf("%q is escaped as %q, which is unescaped as %q, error %v", name, Escape(name), got, err)
		}
	}
	for _, text := range []string{"a.b", "_2", "_zz", "_61", "a_", "other "} { // _61 is a non-canonical form of a
		if got, err := Unescape(text); err == nil {
			t.Errorf("%q is accepted as the escaped form of %q", text, got)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		name := string(rapid.SliceOf(rapid.Byte()).Draw(t, "name"))
		if got, err := Unescape(Escape(name)); err != nil || got != name {
			t.Fatalf("%q is unescaped as %q, error %v", name, got, err)
		}
		if Escape(name) == OtherName {
			t.Fatalf("%q is escaped as OtherName", name)
		}
	})
}
