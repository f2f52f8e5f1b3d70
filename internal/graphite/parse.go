package graphite

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"

	pickle "github.com/kisielk/og-rek"
)

// Errors in data that a collector receives. A collector closes the connection on which it received the data.
var (
	ErrMalformed = errors.New("graphite: malformed")
	ErrTooLarge  = errors.New("graphite: too large")
)

const (
	maxLineBytes     = 4 << 10
	maxFrameBytes    = 1 << 20
	frameHeaderBytes = 4 // length of the frame
)

// Sample is one value of one path at one time.
type Sample struct {
	Path      string
	Value     float64
	Timestamp int64 // Unix time in seconds
}

// ParseLine parses the line at the start of b. It returns the length of the line in bytes, or 0 if the line is
// incomplete. It fails with ErrMalformed or ErrTooLarge.
func ParseLine(b []byte) (Sample, int, error) {
	end := bytes.IndexByte(b, '\n')
	switch {
	case end < 0 && len(b) > maxLineBytes, end > maxLineBytes:
		return Sample{}, 0, fmt.Errorf("%w: line of more than %d bytes", ErrTooLarge, maxLineBytes)
	case end < 0:
		return Sample{}, 0, nil
	}
	fields := bytes.Split(bytes.TrimSuffix(b[:end], []byte("\r")), []byte(" "))
	if len(fields) != 3 || len(fields[0]) == 0 {
		return Sample{}, 0, fmt.Errorf("%w line: %.80q", ErrMalformed, b[:end])
	}
	s := Sample{Path: string(fields[0])}
	var err error
	if s.Value, err = strconv.ParseFloat(string(fields[1]), 64); err != nil || !isFinite(s.Value) {
		return Sample{}, 0, fmt.Errorf("%w value: %.80q", ErrMalformed, b[:end])
	}
	if s.Timestamp, err = strconv.ParseInt(string(fields[2]), 10, 64); err != nil {
		return Sample{}, 0, fmt.Errorf("%w time: %.80q", ErrMalformed, b[:end])
	}
	return s, end + 1, nil
}

func isFinite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }

// ParsePickle parses the frame at the start of b. It returns the length of the frame in bytes, or 0 if the frame is
// incomplete. It fails with ErrMalformed or ErrTooLarge.
func ParsePickle(b []byte) ([]Sample, int, error) {
	if len(b) < frameHeaderBytes {
		return nil, 0, nil
	}
	size := int(binary.BigEndian.Uint32(b))
	switch {
	case size > maxFrameBytes:
		return nil, 0, fmt.Errorf("%w: frame of %d bytes, limit is %d", ErrTooLarge, size, maxFrameBytes)
	case len(b) < frameHeaderBytes+size:
		return nil, 0, nil
	}
	samples, err := decodeFrame(b[frameHeaderBytes : frameHeaderBytes+size])
	if err != nil {
		return nil, 0, err
	}
	return samples, frameHeaderBytes + size, nil
}

func decodeFrame(frame []byte) ([]Sample, error) {
	decoded, err := pickle.NewDecoderWithConfig(bytes.NewReader(frame), &pickle.DecoderConfig{}).Decode()
	if err != nil {
		return nil, fmt.Errorf("%w pickle: %w", ErrMalformed, err)
	}
	records, ok := decoded.([]any)
	if !ok {
		return nil, fmt.Errorf("%w pickle: got %T, want a list", ErrMalformed, decoded)
	}
	samples := make([]Sample, 0, len(records))
	for _, record := range records {
		s, ok := decodeSample(record)
		if !ok {
			return nil, fmt.Errorf("%w pickle: record %.80v is not (path, (time, value))", ErrMalformed, record)
		}
		samples = append(samples, s)
	}
	return samples, nil
}

// decodeSample converts a record (path, (time, value)) to a sample; ok is false for any other record.
func decodeSample(record any) (s Sample, ok bool) {
	outer, ok := record.(pickle.Tuple)
	if !ok || len(outer) != 2 {
		return s, false
	}
	inner, ok := outer[1].(pickle.Tuple)
	if !ok || len(inner) != 2 {
		return s, false
	}
	if s.Timestamp, ok = inner[0].(int64); !ok {
		return s, false
	}
	switch path := outer[0].(type) {
	case string:
		s.Path = path
	case pickle.ByteString:
		s.Path = string(path)
	default:
		return s, false
	}
	switch value := inner[1].(type) {
	case float64:
		s.Value = value
	case int64:
		s.Value = float64(value)
	default:
		return s, false
	}
	return s, s.Path != "" && isFinite(s.Value)
}
