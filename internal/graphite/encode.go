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

// PickleProtocol is the protocol of pickles written; carbon on Python 2 and 3 reads it.
const PickleProtocol = 2

// Encoder writes intervals. A record is one value of one path; records are numbered from 0 in an order that an
// interval fixes, so that writing can go on behind any of them.
type Encoder struct {
	Form   Form
	Broker string
	Pickle bool
}

// Records is how many records an interval has.
func (e *Encoder) Records(v *metrics.Interval) int {
	return len(v.Points) + len(v.Distributions)*len(metrics.Stats)
}

// record is number i.
func (e *Encoder) record(v *metrics.Interval, i int) (Name, float64, error) {
	if i < len(v.Points) {
		return Name{Broker: e.Broker, Series: v.Points[i].Series}, v.Points[i].Value, nil
	}
	i -= len(v.Points)
	d, stat := &v.Distributions[i/len(metrics.Stats)], i%len(metrics.Stats)
	// A sketch is read anew for each of its records only where writing goes on in the middle of it.
	s, err := metrics.Summarize(d.EncodedSketch)
	if err != nil {
		return Name{}, 0, err
	}
	return Name{Broker: e.Broker, Series: d.Series, Stat: metrics.Stats[stat]}, s.Values()[stat], nil
}

// Append appends records from number from on until there are so many bytes, or a few more, or no record is left. It
// returns the number of the next. What it appends can be broken off at its ends only: whole lines, or one pickle.
func (e *Encoder) Append(dst []byte, v *metrics.Interval, from, most int) (out []byte, next int, err error) {
	if e.Pickle {
		return e.appendPickle(dst, v, from, most)
	}
	until := len(dst) + most
	err = e.eachRecord(v, from, func(n Name, value float64) bool {
		dst = append(e.Form.Append(dst, n), ' ')
		dst = append(strconv.AppendFloat(dst, value, 'f', -1, 64), ' ')
		dst = append(strconv.AppendInt(dst, int64(v.EndTime/time.Second), 10), '\n')
		from++
		return len(dst) < until
	})
	return dst, from, err
}

// eachRecord calls f with the records from a number on, until it returns false.
func (e *Encoder) eachRecord(v *metrics.Interval, from int, f func(Name, float64) bool) error {
	for i := from; i < e.Records(v); {
		n, value, err := e.record(v, i)
		if err != nil {
			return err
		}
		if i < len(v.Points) || (i-len(v.Points))%len(metrics.Stats) != 0 {
			if !f(n, value) {
				return nil
			}
			i++
			continue
		}
		s, err := metrics.Summarize(v.Distributions[(i-len(v.Points))/len(metrics.Stats)].EncodedSketch)
		if err != nil {
			return err
		}
		for stat, value := range s.Values() {
			n.Stat = metrics.Stats[stat]
			if !f(n, value) {
				return nil
			}
			i++
		}
	}
	return nil
}

// appendPickle appends one frame: the length as four bytes, then a pickled list of (path, (time, value)).
func (e *Encoder) appendPickle(dst []byte, v *metrics.Interval, from, most int) ([]byte, int, error) {
	list, size, path := []any{}, 0, []byte(nil)
	err := e.eachRecord(v, from, func(n Name, value float64) bool {
		path = e.Form.Append(path[:0], n)
		list = append(list, pickle.Tuple{string(path), pickle.Tuple{int64(v.EndTime / time.Second), value}})
		size += len(path) + pickledRecordOverhead
		from++
		return size < most
	})
	if err != nil || len(list) == 0 {
		return dst, from, err
	}
	var b bytes.Buffer
	if err := pickle.NewEncoderWithConfig(&b, &pickle.EncoderConfig{Protocol: PickleProtocol}).Encode(list); err != nil {
		return dst, from, fmt.Errorf("graphite: pickle: %w", err)
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(b.Len()))
	return append(dst, b.Bytes()...), from, nil
}

// pickledRecordOverhead is what a record's pickle has beside its path.
const pickledRecordOverhead = 24
