package graphite

import (
	"encoding/hex"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"wheatlane/internal/goldenfile"
	"wheatlane/internal/metrics/metricstest"
)

// The encoded bytes of every metric match the golden files in each format.
func TestEncodedBytesMatchGoldenFiles(t *testing.T) {
	v := metricstest.FullInterval(10 * time.Second)
	for _, tt := range []struct {
		name     string
		encoder  Encoder
		maxBytes int // per call of Append
	}{
		{"lines", Encoder{Format: PathFormat{Prefix: "wheatlane"}, Broker: "n1"}, 1 << 20},
		{"lines-in-parts", Encoder{Format: PathFormat{Prefix: "sea.lane"}, Broker: "n 1.é"}, 1400},
		{"tags", Encoder{Format: PathFormat{Prefix: "wheatlane", Tags: true}, Broker: "n1"}, 1 << 20},
		{"no-prefix", Encoder{Broker: ""}, 1 << 20},
		{"pickle", Encoder{Format: PathFormat{Prefix: "wheatlane"}, Broker: "n1", Pickle: true}, 4000},
		{"pickle-tags", Encoder{Format: PathFormat{Tags: true}, Broker: "n1", Pickle: true}, 1 << 20},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var all strings.Builder
			for next := 0; next < tt.encoder.RecordCount(v); {
				var text []byte
				var err error
				if text, next, err = tt.encoder.Append(nil, v, next, tt.maxBytes); err != nil {
					t.Fatal(err)
				}
				if tt.encoder.Pickle {
					text = append([]byte(hex.EncodeToString(text)), '\n')
				} else if next < tt.encoder.RecordCount(v) {
					text = append(text, '\n') // an empty line marks the end of each call of Append
				}
				all.Write(text)
			}
			goldenfile.Compare(t, filepath.Join("testdata", tt.name+".golden"), all.String())
		})
	}
}
