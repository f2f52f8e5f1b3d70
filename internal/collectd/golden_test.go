package collectd

import (
	"encoding/hex"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"wheatlane/internal/goldenfile"
	"wheatlane/internal/metrics/metricstest"
)

// The datagrams that are sent of every figure are what they were, at each level of security.
func TestSentBytes(t *testing.T) {
	for name, level := range map[string]Level{"plain": Plain, "sign": Sign, "encrypt": Encrypt} {
		t.Run(name, func(t *testing.T) {
			var lists []ValueList
			if err := EachValueList(metricstest.FullInterval(10*time.Second+3*time.Millisecond), "n 1", func(l ValueList) error {
				lists = append(lists, l)
				return nil
			}); err != nil {
				t.Fatal(err)
			}
			var all strings.Builder
			for _, p := range pack(t, testSecurity(level), lists...) {
				all.WriteString(hex.EncodeToString(p) + "\n")
			}
			goldenfile.Compare(t, filepath.Join("testdata", name+".golden"), all.String())
		})
	}
}
