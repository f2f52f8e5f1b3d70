// Package gossip encodes and decodes the datagrams that brokers of one fleet send one another: engines' loads as the
// sender knows them, and their ages. So a broker that sees few requests knows the load of most engines as well. The
// package does no I/O and reads no clock.
//
// A datagram holds a header of two bytes and then reports of 6 bytes each: the hash of the engine's id (4
// bytes, big endian), its load in hundredths, and the report's age in steps of 20 ms when the datagram is
// sent. Values outside these ranges are clamped to them, but a report that is older than MaxAge is left out.
package gossip

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"wheatlane/control"
)

const (
	// MaxBytes is the length of the longest datagram that brokers may send one another.
	MaxBytes = 256
	// MaxReports is how many reports fit into one datagram.
	MaxReports = (MaxBytes - len(header)) / reportBytes
	// MaxAge is the greatest age that a report of a datagram can have.
	MaxAge = math.MaxUint8 * ageStep

	header      = "w\x01" // the second byte is the version of the format
	hashBytes   = 4
	reportBytes = hashBytes + 2 // hash, load, age
	loadOffset  = hashBytes
	ageOffset   = hashBytes + 1

	loadStep = 0.01                  // of the load byte
	ageStep  = 20 * time.Millisecond // of the age byte
)

// Errors of Parse: why a datagram can't be decoded.
var (
	ErrTooLong   = errors.New("gossip: datagram over 256 bytes")
	ErrVersion   = errors.New("gossip: no datagram of a broker, or one of another version")
	ErrTruncated = errors.New("gossip: report cut off")
)

// Append appends a datagram to buf. It holds the first MaxReports of the reports that are not older than MaxAge.
func Append(buf []byte, reports []control.GossipedLoad) []byte {
	buf = append(buf, header...)
	written := 0
	for _, report := range reports {
		if report.Age > MaxAge || written == MaxReports {
			continue
		}
		buf = binary.BigEndian.AppendUint32(buf, report.Engine)
		// An age is rounded up: a report may seem older than it is, but never fresher.
		ageSteps := math.Ceil(float64(report.Age) / float64(ageStep))
		buf = append(buf, clampToByte(report.Load/loadStep), clampToByte(ageSteps))
		written++
	}
	return buf
}

// Parse decodes a datagram. Its error is ErrTooLong, ErrVersion or ErrTruncated.
func Parse(datagram []byte) ([]control.GossipedLoad, error) {
	if len(datagram) > MaxBytes {
		return nil, ErrTooLong
	}
	if len(datagram) < len(header) || string(datagram[:len(header)]) != header {
		return nil, ErrVersion
	}
	rest := datagram[len(header):]
	if len(rest)%reportBytes != 0 {
		return nil, ErrTruncated
	}
	reports := make([]control.GossipedLoad, 0, len(rest)/reportBytes)
	for ; len(rest) > 0; rest = rest[reportBytes:] {
		reports = append(reports, control.GossipedLoad{
			Engine: binary.BigEndian.Uint32(rest),
			Load:   float64(rest[loadOffset]) * loadStep,
			Age:    time.Duration(rest[ageOffset]) * ageStep,
		})
	}
	return reports, nil
}

// clampToByte rounds a value and clamps it to the range of a byte.
func clampToByte(v float64) byte { return byte(max(0, min(math.MaxUint8, math.Round(v)))) }
