package graphite

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strconv"
	"time"

	pickle "github.com/kisielk/og-rek"

	"wheatlane/internal/metrics"
)

// PickleProtocol is the pickle protocol version that is written. Carbon supports it on Python 2 and 3.
const PickleProtocol = 2

// pickledRecordOverhead is the approximate length of a pickled record without its path, in bytes.
const pickledRecordOverhead = 24

// Encoder encodes intervals. A record is one value of one path. The records of an interval are numbered from 0 in a
// fixed order, so that encoding can resume at any record.
type Encoder struct {
	Format PathFormat
	Broker string
	Pickle bool // use the pickle protocol instead of plaintext
}

// RecordCount returns the number of records of an interval.
func (e *Encoder) RecordCount(v *metrics.Interval) int {
	return len(v.Points) + len(v.Distributions)*len(metrics.StatNames)
}

// Append appends records, starting at number from, until it has appended about maxBytes or no record is left. The last
// record may exceed maxBytes. It appends complete lines or one complete pickled frame, and returns the number of the
// next record. It fails if a sketch can't be decoded.
func (e *Encoder) Append(dst []byte, v *metrics.Interval, from, maxBytes int) ([]byte, int, error) {
	if e.Pickle {
		return e.appendPickle(dst, v, from, maxBytes)
	}
	return e.appendLines(dst, v, from, maxBytes)
}

func (e *Encoder) appendLines(dst []byte, v *metrics.Interval, from, maxBytes int) ([]byte, int, error) {
	next, end := from, len(dst)+maxBytes
	err := e.eachRecord(v, from, func(n MetricName, value float64) bool {
		dst = append(e.Format.Append(dst, n), ' ')
		dst = append(strconv.AppendFloat(dst, value, 'f', -1, 64), ' ')
		dst = append(strconv.AppendInt(dst, timestamp(v), 10), '\n')
		next++
		return len(dst) < end
	})
	return dst, next, err
}

// appendPickle appends one frame: a length of four bytes, then a pickled list of (path, (time, value)).
func (e *Encoder) appendPickle(dst []byte, v *metrics.Interval, from, maxBytes int) ([]byte, int, error) {
	var records []any
	var path []byte
	next, size := from, 0
	err := e.eachRecord(v, from, func(n MetricName, value float64) bool {
		path = e.Format.Append(path[:0], n)
		records = append(records, pickle.Tuple{string(path), pickle.Tuple{timestamp(v), value}})
		size += len(path) + pickledRecordOverhead
		next++
		return size < maxBytes
	})
	if err != nil || len(records) == 0 {
		return dst, next, err
	}
	var frame bytes.Buffer
	config := pickle.EncoderConfig{Protocol: PickleProtocol}
	if err := pickle.NewEncoderWithConfig(&frame, &config).Encode(records); err != nil {
		return dst, next, fmt.Errorf("graphite: encode pickle: %w", err)
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(frame.Len()))
	return append(dst, frame.Bytes()...), next, nil
}

// timestamp returns the Unix time of an interval's records in seconds.
func timestamp(v *metrics.Interval) int64 { return int64(v.EndTime / time.Second) }

// eachRecord calls f with each record, starting at number from, until f returns false. It decodes each sketch once.
func (e *Encoder) eachRecord(v *metrics.Interval, from int, f func(MetricName, float64) bool) error {
	for i := from; i < len(v.Points); i++ {
		if !f(MetricName{Broker: e.Broker, Series: v.Points[i].Series}, v.Points[i].Value) {
			return nil
		}
	}
	first := max(0, from-len(v.Points)) // first record among those of distributions
	for i := first / len(metrics.StatNames); i < len(v.Distributions); i++ {
		d := &v.Distributions[i]
		summary, err := metrics.Summarize(d.EncodedSketch)
		if err != nil {
			return err
		}
		values := summary.Values()
		for stat := max(0, first-i*len(metrics.StatNames)); stat < len(values); stat++ {
			if !f(MetricName{Broker: e.Broker, Series: d.Series, Stat: metrics.StatNames[stat]}, values[stat]) {
				return nil
			}
		}
	}
	return nil
}
