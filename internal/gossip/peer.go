// Package peer reads and writes the datagrams that brokers of one fleet send one another: what each knows of the
// engines' load, and how old that is. A broker that sees few requests hears of most engines this way long before it
// would have learned of them by itself. It does no I/O and reads no clock.
//
// A datagram holds the two bytes of magic and then reports of 6 bytes each: the engine's mark (4 bytes, big endian),
// its load in hundredths, and its age in steps of 20 ms, as when the datagram is sent. What doesn't fit these ranges
// is cut to them, but a report that is too old to be told is left out.
package gossip

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"wheatlane/control"
)

const (
	// MaxBytes is the longest datagram that may be sent between brokers.
	MaxBytes = 256
	// MaxReports is how many reports fit in one.
	MaxReports = (MaxBytes - len(magic)) / reportBytes
	// MaxAge is the age, in the steps of a datagram, that a report can have at most.
	MaxAge = math.MaxUint8 * ageStep

	magic       = "w\x01" // the second byte is the version
	reportBytes = 6
	loadStep    = 0.01
	ageStep     = 20 * time.Millisecond
)

// What a datagram can't be read for.
var (
	ErrTooLong   = errors.New("over 256 bytes")
	ErrVersion   = errors.New("no datagram of a broker, or of another version")
	ErrTruncated = errors.New("a report is cut off")
)

// Append adds the datagram of these reports to buf; of more than MostReports, and of those that are too old, it
// holds none.
func Append(buf []byte, reports []control.LoadReport) []byte {
	buf = append(buf, magic...)
	n := 0
	for _, r := range reports {
		if r.Age > MaxAge || n == MaxReports {
			continue
		}
		buf = binary.BigEndian.AppendUint32(buf, r.Engine)
		buf = append(buf, step(r.Load/loadStep), step(math.Ceil(float64(r.Age)/float64(ageStep))))
		n++
	}
	return buf
}

// Parse reads a datagram.
func Parse(text []byte) ([]control.LoadReport, error) {
	if len(text) > MaxBytes {
		return nil, ErrTooLong
	}
	if len(text) < len(magic) || string(text[:len(magic)]) != magic {
		return nil, ErrVersion
	}
	text = text[len(magic):]
	if len(text)%reportBytes != 0 {
		return nil, ErrTruncated
	}
	reports := make([]control.LoadReport, 0, len(text)/reportBytes)
	for ; len(text) > 0; text = text[reportBytes:] {
		reports = append(reports, control.LoadReport{Engine: binary.BigEndian.Uint32(text),
			Load: float64(text[4]) * loadStep, Age: time.Duration(text[5]) * ageStep})
	}
	return reports, nil
}

// step cuts a figure to a byte.
func step(v float64) byte { return byte(max(0, min(math.MaxUint8, math.Round(v)))) }
