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

// recordedForm is the form of names in a recording.
var recordedForm = graphite.Form{Tags: true}

// ErrRecording is returned for a file that is no recording.
var ErrRecording = errors.New("not a recording of figures")

// recordingHeader is the first line of a recording.
const recordingHeader = "wheatlane figures 1"

// Recording writes samples to a file: lines of arrival in milliseconds, path, value and time, compressed with zstd.
// It may be used from several goroutines.
type Recording struct {
	mu      sync.Mutex
	file    io.WriteCloser
	encoder *zstd.Encoder
	line    []byte
	err     error
}

// flushInterval is how long samples may stay here before they are in the file, where a collector that is killed leaves them.
const flushInterval = time.Second

// NewRecording begins one.
func NewRecording(to io.WriteCloser) (*Recording, error) {
	z, err := zstd.NewWriter(to, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("recording: %w", err)
	}
	r := &Recording{file: to, encoder: z}
	if _, err := fmt.Fprintln(z, recordingHeader); err != nil {
		return nil, fmt.Errorf("recording: %w", err)
	}
	if err := z.Flush(); err != nil {
		return nil, fmt.Errorf("recording: %w", err)
	}
	return r, nil
}

// Add writes a sample. The first error is kept for Close.
func (r *Recording) Add(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return
	}
	r.line = append(strconv.AppendInt(r.line[:0], s.Arrived.Milliseconds(), 10), ' ')
	r.line = append(recordedForm.Append(r.line, s.Name), ' ')
	r.line = append(strconv.AppendFloat(r.line, s.Value, 'g', -1, 64), ' ')
	r.line = append(strconv.AppendInt(r.line, s.At, 10), '\n')
	_, r.err = r.encoder.Write(r.line)
}

// Run brings what is added to the file each second, until ctx ends.
func (r *Recording) Run(ctx context.Context) error {
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
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
		return fmt.Errorf("recording: %w", r.err)
	}
	return nil
}

// Close ends the recording.
func (r *Recording) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := errors.Join(r.err, r.encoder.Close(), r.file.Close()); err != nil {
		return fmt.Errorf("recording: %w", err)
	}
	return nil
}

// ReadRecording reads one. What stands ahead of a place where it breaks off is returned along with the error, as a
// recording may be of a collector that was killed.
func ReadRecording(from io.Reader) ([]Sample, error) {
	z, err := zstd.NewReader(from, zstd.WithDecoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRecording, err)
	}
	defer z.Close()
	lines := bufio.NewScanner(z)
	if !lines.Scan() || lines.Text() != recordingHeader {
		return nil, errors.Join(ErrRecording, lines.Err())
	}
	var all []Sample
	for lines.Scan() {
		s, err := parseRecorded(lines.Text())
		if err != nil {
			return all, err
		}
		all = append(all, s)
	}
	if err := lines.Err(); err != nil {
		return all, fmt.Errorf("%w: %w", ErrRecording, err)
	}
	return all, nil
}

func parseRecorded(line string) (s Sample, err error) {
	f := strings.Split(line, " ")
	if len(f) != 4 {
		return s, fmt.Errorf("%w: %.80q", ErrRecording, line)
	}
	arrived, err := strconv.ParseInt(f[0], 10, 64)
	if err != nil {
		return s, fmt.Errorf("%w: %w", ErrRecording, err)
	}
	s.Arrived = time.Duration(arrived) * time.Millisecond
	if s.Name, err = recordedForm.Parse(f[1]); err != nil {
		return s, fmt.Errorf("%w: %w", ErrRecording, err)
	}
	if s.Value, err = strconv.ParseFloat(f[2], 64); err != nil {
		return s, fmt.Errorf("%w: %w", ErrRecording, err)
	}
	if s.At, err = strconv.ParseInt(f[3], 10, 64); err != nil {
		return s, fmt.Errorf("%w: %w", ErrRecording, err)
	}
	return s, nil
}
