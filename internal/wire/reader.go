package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"wheatlane/control"
	"wheatlane/internal/loadfields"
)

const bufferBytes = 1 << 20 // of a Reader or Writer

// Create is the creation of an instance.
type Create struct {
	Seed     uint64
	Settings control.Settings
}

// Input is what happened to one instance. Exactly one of Create, Crash and Event is set.
type Input struct {
	Instance int
	Create   *Create
	Crash    bool // the instance ends at once and loses all its state
	Event    control.Event
}

// noInstance stands for the instance of a batch ahead of the first that is named.
const noInstance = -1

// Batch is what happened at one time.
type Batch struct {
	Now    time.Duration // since the simulation began
	Inputs []Input
}

// Reader decodes batches. Its errors name the number of the line.
type Reader struct {
	in      *bufio.Reader
	line    int                        // number of the last line read
	lists   map[int64][]control.Engine // endpoint lists by their numbers
	layouts map[int]loadfields.Layout  // of load reports, by the instances that they are for
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{
		in:    bufio.NewReaderSize(r, bufferBytes),
		lists: map[int64][]control.Engine{}, layouts: map[int]loadfields.Layout{},
	}
}

// Read returns the next batch, or io.EOF when the input ends between batches.
func (r *Reader) Read() (Batch, error) {
	now, err := r.readClock()
	if err != nil {
		return Batch{}, err
	}
	batch := Batch{Now: now}
	instance := noInstance
	for {
		msg, err := r.nextInside("a batch, " + messageEndBatch + " is missing")
		if err != nil {
			return batch, err
		}
		switch msg.name {
		case messageEndBatch:
			return batch, nil
		case messageInstance:
			instance = int(msg.requiredInteger(fieldInstance))
		case messageEndpointList:
			if err := r.readEndpointList(msg); err != nil {
				return batch, err
			}
		default:
			item, err := r.decode(msg, instance)
			if err == nil && instance < 0 {
				err = fmt.Errorf("%s comes before any %s", msg.name, messageInstance)
			}
			if err != nil {
				return batch, r.errorf("%w", err)
			}
			item.Instance = instance
			batch.add(item)
		}
		if msg.err != nil {
			return batch, r.errorf("%s: %w", msg.name, msg.err)
		}
	}
}

// add appends an item, unless it was ignored.
func (b *Batch) add(item Input) {
	if item.Create != nil || item.Crash || item.Event != nil {
		b.Inputs = append(b.Inputs, item)
	}
}

// readClock reads the message that begins a batch.
func (r *Reader) readClock() (time.Duration, error) {
	line, err := r.nextLine()
	if err != nil {
		return 0, err
	}
	msg, err := parseMessage(line)
	switch {
	case err != nil:
		return 0, r.errorf("%w", err)
	case msg.name != messageClock:
		return 0, r.errorf("expected %s, got %.60q", messageClock, line)
	}
	now := msg.requiredDuration(fieldNow)
	if msg.err != nil {
		return 0, r.errorf("%w", msg.err)
	}
	return now, nil
}

// readEndpointList reads the endpoints that a list announces.
func (r *Reader) readEndpointList(announced *message) error {
	members := announced.requiredInteger(fieldListMembers)
	number := announced.integer(fieldListNumber)
	if announced.err != nil {
		return r.errorf("%s: %w", messageEndpointList, announced.err)
	}
	var engines []control.Engine
	for range members {
		msg, err := r.nextInside("a " + messageEndpointList)
		if err != nil {
			return err
		}
		if msg.name != messageEndpoint {
			return r.errorf("expected %s, got %.60q", messageEndpoint, msg.line)
		}
		engine, err := decodeEndpoint(msg)
		if err != nil {
			return r.errorf("%s: %w", messageEndpoint, err)
		}
		engines = append(engines, engine)
	}
	r.lists[number] = engines
	return nil
}

// nextLine returns the next line without its end, or io.EOF.
func (r *Reader) nextLine() (string, error) {
	line, err := r.in.ReadString('\n')
	if errors.Is(err, io.EOF) && line != "" {
		return "", r.errorf("the last line has no end: %.60q", line)
	}
	if err != nil {
		return "", err
	}
	r.line++
	return strings.TrimSuffix(line, "\n"), nil
}

// nextInside returns the next message where one must follow.
func (r *Reader) nextInside(place string) (*message, error) {
	line, err := r.nextLine()
	if errors.Is(err, io.EOF) {
		return nil, r.errorf("the input ends inside %s", place)
	}
	if err != nil {
		return nil, err
	}
	msg, err := parseMessage(line)
	if err != nil {
		return nil, r.errorf("%w", err)
	}
	return msg, nil
}

func (r *Reader) errorf(format string, args ...any) error {
	return fmt.Errorf("line %d: %w", r.line, fmt.Errorf(format, args...))
}
