package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"wheatlane/control"
	"wheatlane/internal/wire"
)

// run answers each batch of the input with a reply, until the input ends between batches.
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

// host owns the instances.
type host struct {
	controllers map[int]*control.Controller
}

// inbox holds the events of a batch for one instance.
type inbox struct {
	instance int
	events   []control.Event
}

// handle gives each instance its events of a batch, in the order in which the batch names the instances
// first, and writes their actions.
func (h *host) handle(batch wire.Batch, writer *wire.Writer) error {
	inboxes, err := h.distribute(batch)
	if err != nil {
		return err
	}
	for _, box := range inboxes {
		if controller := h.controllers[box.instance]; controller != nil {
			writer.BeginInstance(box.instance)
			act(controller, writer, batch.Now, box.events)
		}
	}
	return nil
}

// distribute creates and ends instances and sorts the events of a batch by the instance that they are for.
func (h *host) distribute(batch wire.Batch) ([]*inbox, error) {
	var inboxes []*inbox
	byInstance := map[int]*inbox{}
	for _, item := range batch.Inputs {
		box := byInstance[item.Instance]
		if box == nil {
			box = &inbox{instance: item.Instance}
			byInstance[item.Instance] = box
			inboxes = append(inboxes, box)
		}
		switch {
		case item.Crash: // what it had not yet acted on is lost with it
			box.events = nil
			delete(h.controllers, item.Instance)
		case item.Create != nil:
			controller, err := control.New(item.Create.Settings, item.Create.Seed)
			if err != nil {
				return nil, fmt.Errorf("instance %d: settings: %w", item.Instance, err)
			}
			box.events = nil
			h.controllers[item.Instance] = controller
		case h.controllers[item.Instance] == nil:
			return nil, fmt.Errorf("at %v: an event for instance %d, which does not exist", batch.Now, item.Instance)
		default:
			box.events = append(box.events, item.Event)
		}
	}
	return inboxes, nil
}

// act has an instance act on its events. A panic of its code becomes an internal error in the reply.
func act(controller *control.Controller, writer *wire.Writer, now time.Duration, events []control.Event) {
	defer func() {
		if fault := recover(); fault != nil {
			writer.InternalError(fmt.Sprint(fault))
		}
	}()
	for _, action := range controller.Handle(now, events) {
		writer.Action(action)
	}
}
