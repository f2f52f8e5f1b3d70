package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"wheatlane/control"
	"wheatlane/internal/wire"
)

// run replies to each batch of the input, until the input ends between two batches.
func run(in io.Reader, out io.Writer) error {
	reader, writer := wire.NewReader(in), wire.NewWriter(out)
	h := host{controllers: map[int]*control.Controller{}}
	for {
		batch, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handle(batch, writer); err != nil {
			return err
		}
		if err := writer.EndReply(); err != nil {
			return err
		}
	}
}

// host owns the instances of the decision module.
type host struct {
	controllers map[int]*control.Controller // by instance number
}

// inbox holds the events of a batch for one instance.
type inbox struct {
	instance int
	events   []control.Event
}

// handle passes the events of a batch to their instances and writes the resulting actions. The instances are in the
// order of their first mention in the batch.
func (h *host) handle(batch wire.Batch, writer *wire.Writer) error {
	inboxes, err := h.distribute(batch)
	if err != nil {
		return err
	}
	for _, box := range inboxes {
		if controller := h.controllers[box.instance]; controller != nil {
			writer.BeginInstance(box.instance)
			handleEvents(controller, writer, batch.Now, box.events)
		}
	}
	return nil
}

// distribute creates and ends instances, and groups the events of a batch by instance.
func (h *host) distribute(batch wire.Batch) ([]*inbox, error) {
	var inboxes []*inbox
	byInstance := map[int]*inbox{}
	for _, input := range batch.Inputs {
		box := byInstance[input.Instance]
		if box == nil {
			box = &inbox{instance: input.Instance}
			byInstance[input.Instance] = box
			inboxes = append(inboxes, box)
		}
		switch {
		case input.Crash: // events that the instance has not handled are lost
			box.events = nil
			delete(h.controllers, input.Instance)
		case input.Create != nil:
			controller, err := control.New(input.Create.Settings, input.Create.Seed)
			if err != nil {
				return nil, fmt.Errorf("instance %d: settings: %w", input.Instance, err)
			}
			box.events = nil
			h.controllers[input.Instance] = controller
		case h.controllers[input.Instance] == nil:
			return nil, fmt.Errorf("at %v: an event for instance %d, which does not exist", batch.Now, input.Instance)
		default:
			box.events = append(box.events, input.Event)
		}
	}
	return inboxes, nil
}

// handleEvents passes events to an instance and writes its actions. A panic of the instance is reported as an internal
// error in the reply.
func handleEvents(controller *control.Controller, writer *wire.Writer, now time.Duration, events []control.Event) {
	defer func() {
		if reason := recover(); reason != nil {
			writer.InternalError(fmt.Sprint(reason))
		}
	}()
	for _, action := range controller.Handle(now, events) {
		writer.Action(action)
	}
}
