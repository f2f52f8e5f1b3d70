// Command adapter hosts instances of the decision module behind the bench's
// line protocol on standard input and output. It decides nothing itself.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"wheatlane/control"
	"wheatlane/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// work is what one batch holds for one instance.
type work struct {
	who    int
	events []control.Event
}

func run(in io.Reader, out io.Writer) error {
	r, w := wire.NewReader(in), wire.NewWriter(out)
	hosted := map[int]*control.Controller{}
	for {
		b, err := r.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		var todo []*work
		byWho := map[int]*work{}
		for _, it := range b.Items {
			t := byWho[it.Who]
			if t == nil {
				t = &work{who: it.Who}
				byWho[it.Who] = t
				todo = append(todo, t)
			}
			switch {
			case it.Crash: // whatever it had not yet acted on dies with it
				t.events = nil
				delete(hosted, it.Who)
			case it.Create != nil:
				c, err := control.New(it.Create.Settings, it.Create.Seed)
				if err != nil {
					return fmt.Errorf("instance %d: settings: %w", it.Who, err)
				}
				t.events = nil
				hosted[it.Who] = c
			case hosted[it.Who] == nil:
				return fmt.Errorf("at %v: an event for instance %d, which does not exist", b.Now, it.Who)
			default:
				t.events = append(t.events, it.Event)
			}
		}
		for _, t := range todo {
			if c := hosted[t.who]; c != nil {
				w.As(t.who)
				handle(c, w, b.Now, t.events)
			}
		}
		if err := w.End(); err != nil {
			return err
		}
	}
}

func handle(c *control.Controller, w *wire.Writer, now time.Duration, events []control.Event) {
	defer func() {
		if p := recover(); p != nil {
			w.InternalError(fmt.Sprint(p))
		}
	}()
	for _, a := range c.Handle(now, events) {
		w.Action(a)
	}
}
