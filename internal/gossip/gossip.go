// Package gossip encodes and decodes the datagrams that brokers of one fleet exchange: the engine loads that the sender
// has observed, with their ages. Gossip gives a broker that receives few requests the load of most engines too. The
// package does no I/O and reads no clock.
//
// A datagram consists of a header of two bytes and reports of 6 bytes each: the hash of the engine's id (4 bytes, big
// endian), the load in hundredths, and the age of the report, when the datagram is sent, in steps of 20 ms. Values
// outside these ranges are clamped, but a report older than MaxAge is omitted.
package gossip

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"wheatlane/control"
)

const (
	// MaxBytes is the maximum length of a datagram in bytes.
	MaxBytes = 256
	// MaxReports is the maximum number of reports in a datagram.
	MaxReports = (MaxBytes - len(header)) / reportBytes
	// MaxAge is the maximum age of a report in a datagram.
	MaxAge = math.MaxUint8 * ageStep

	header      = "w\x01" // the second byte is the version of the format
	hashBytes   = 4
	reportBytes = hashBytes + 2 // hash, load byte, age byte
	loadOffset  = hashBytes
	ageOffset   = hashBytes + 1

	loadStep = 0.01                  // unit of the load byte
	ageStep  = 20 * time.Millisecond // unit of the age byte
)

// Errors of Parse.
var (
	ErrTooLong   = errors.New("gossip: datagram over 256 bytes")
	ErrVersion   = errors.New("gossip: no datagram of a broker, or one of another version")
	ErrTruncated = errors.New("gossip: report cut off")
)

// Append appends a datagram to buf. The datagram holds the first MaxReports reports that are not older than MaxAge.
func Append(buf []byte, reports []control.GossipedLoad) []byte {
	buf = append(buf, header...)
	written := 0
	for _, report := range reports {
		if report.Age > MaxAge || written == MaxReports {
			continue
		}
		buf = binary.BigEndian.AppendUint32(buf, report.Engine)
		// Ages are rounded up, so that a report may appear older than it is, but never fresher.
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
func clampToByte(value float64) byte { return byte(max(0, min(math.MaxUint8, math.Round(value)))) }
