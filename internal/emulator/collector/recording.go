package collector

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"

	"wheatlane/internal/graphite"
)

// recordingFormat is the format of metric names in a recording.
var recordingFormat = graphite.PathFormat{Tags: true}

// ErrRecording is returned for a file that is not a recording or ends in a truncated line.
var ErrRecording = errors.New("not a recording of metrics, or a truncated one")

// recordingHeader is the first line of a recording.
const recordingHeader = "wheatlane figures 1"

// lineFieldCount is the number of fields of a line: arrival, path, value and timestamp.
const lineFieldCount = 4

// Recording writes samples to a file, compressed with zstd. Each line has the arrival in milliseconds, the path, the
// value and the timestamp. It is safe for concurrent use.
type Recording struct {
	mu      sync.Mutex
	file    io.WriteCloser
	encoder *zstd.Encoder
	line    []byte
	err     error
}

// flushInterval is the time that samples may stay in memory. The file of a killed collector lacks only the samples of
// the last interval.
const flushInterval = time.Second

// NewRecording starts a recording. Its Close method also closes the file.
func NewRecording(file io.WriteCloser) (*Recording, error) {
	encoder, err := zstd.NewWriter(file, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("create recording encoder: %w", err)
	}
	r := &Recording{file: file, encoder: encoder}
	if _, err := fmt.Fprintln(encoder, recordingHeader); err != nil {
		return nil, fmt.Errorf("write header of recording: %w", err)
	}
	if err := encoder.Flush(); err != nil {
		return nil, fmt.Errorf("flush header of recording: %w", err)
	}
	return r, nil
}

// Add writes a sample. Close returns the first error of all writes.
func (r *Recording) Add(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return
	}
	r.line = append(strconv.AppendInt(r.line[:0], s.ArrivedAfter.Milliseconds(), 10), ' ')
	r.line = append(recordingFormat.Append(r.line, s.Name), ' ')
	r.line = append(strconv.AppendFloat(r.line, s.Value, 'g', -1, 64), ' ')
	r.line = append(strconv.AppendInt(r.line, s.Timestamp, 10), '\n')
	_, r.err = r.encoder.Write(r.line)
}

// Run flushes the samples to the file every flushInterval, until ctx is done.
func (r *Recording) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := r.flush(); err != nil {
			return err
		}
	}
}

func (r *Recording) flush() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = r.encoder.Flush()
	}
	if r.err != nil {
		return fmt.Errorf("write recording: %w", r.err)
	}
	return nil
}

// Close ends the recording and closes its file. It reports the first write error along with its own.
func (r *Recording) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := errors.Join(r.err, r.encoder.Close(), r.file.Close()); err != nil {
		return fmt.Errorf("close recording: %w", err)
	}
	return nil
}

// ReadRecording reads a recording. If the recording is truncated, as that of a killed collector, it returns the samples
// before that point along with the error.
func ReadRecording(from io.Reader) ([]Sample, error) {
	decoder, err := zstd.NewReader(from, zstd.WithDecoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRecording, err)
	}
	defer decoder.Close()
	lines := bufio.NewScanner(decoder)
	if !lines.Scan() || lines.Text() != recordingHeader {
		return nil, errors.Join(ErrRecording, lines.Err())
	}
	var samples []Sample
	for lines.Scan() {
		s, err := parseLine(lines.Text())
		if err != nil {
			return samples, err
		}
		samples = append(samples, s)
	}
	if err := lines.Err(); err != nil {
		return samples, fmt.Errorf("%w: %w", ErrRecording, err)
	}
	return samples, nil
}

// parseLine parses a line of a recording.
func parseLine(line string) (s Sample, err error) {
	fields := strings.Split(line, " ")
	if len(fields) != lineFieldCount {
		return s, fmt.Errorf("%w: %.80q", ErrRecording, line)
	}
	arrived, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return s, fmt.Errorf("%w: %w", ErrRecording, err)
	}
	s.ArrivedAfter = time.Duration(arrived) * time.Millisecond
	if s.Name, err = recordingFormat.Parse(fields[1]); err != nil {
		return s, fmt.Errorf("%w: %w", ErrRecording, err)
	}
	if s.Value, err = strconv.ParseFloat(fields[2], 64); err != nil {
		return s, fmt.Errorf("%w: %w", ErrRecording, err)
	}
	if s.Timestamp, err = strconv.ParseInt(fields[3], 10, 64); err != nil {
		return s, fmt.Errorf("%w: %w", ErrRecording, err)
	}
	return s, nil
}
