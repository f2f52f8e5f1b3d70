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

// The datagrams of every metric match the golden files byte for byte at each security level.
func TestDatagramsMatchGoldenFiles(t *testing.T) {
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
