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

const bufferBytes = 1 << 20 // buffer size of a Reader or Writer

// Create holds the arguments for the creation of an instance.
type Create struct {
	Seed     uint64
	Settings control.Settings
}

// Input is one input of an instance: its creation, its crash or an event. Exactly one of Create, Crash and Event is
// set.
type Input struct {
	Instance int
	Create   *Create
	Crash    bool // the instance ends immediately and loses all its state
	Event    control.Event
}

// noInstance is the instance number of a batch before its first SWITCH_TO message.
const noInstance = -1

// Batch holds the inputs of all instances at one time.
type Batch struct {
	Now    time.Duration // since the start of the simulation
	Inputs []Input
}

// Reader decodes batches. Its errors include the line number.
type Reader struct {
	in      *bufio.Reader
	line    int                        // number of the last line read
	lists   map[int64][]control.Engine // endpoint lists by number
	layouts map[int]loadfields.Layout  // layouts of load reports, by instance
}

// NewReader returns a Reader that reads from r.
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
			input, err := r.decode(msg, instance)
			if err == nil && instance < 0 {
				err = fmt.Errorf("%s comes before any %s", msg.name, messageInstance)
			}
			if err != nil {
				return batch, r.errorf("%w", err)
			}
			input.Instance = instance
			batch.add(input)
		}
		if msg.err != nil {
			return batch, r.errorf("%s: %w", msg.name, msg.err)
		}
	}
}

// add appends an input, unless the input is empty because its message was ignored.
func (b *Batch) add(input Input) {
	if input.Create != nil || input.Crash || input.Event != nil {
		b.Inputs = append(b.Inputs, input)
	}
}

// readClock reads the message that begins a batch and returns the batch's time.
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

// readEndpointList reads the endpoints of a list. The header specifies how many follow.
func (r *Reader) readEndpointList(header *message) error {
	members := header.requiredInteger(fieldListMembers)
	number := header.integer(fieldListNumber)
	if header.err != nil {
		return r.errorf("%s: %w", messageEndpointList, header.err)
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

// nextLine returns the next line without its line feed, or io.EOF.
func (r *Reader) nextLine() (string, error) {
	line, err := r.in.ReadString('\n')
	if errors.Is(err, io.EOF) && line != "" {
		return "", r.errorf("the last line lacks a line feed: %.60q", line)
	}
	if err != nil {
		return "", err
	}
	r.line++
	return strings.TrimSuffix(line, "\n"), nil
}

// nextInside returns the next message. The end of the input is an error here; place describes the enclosing structure.
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
