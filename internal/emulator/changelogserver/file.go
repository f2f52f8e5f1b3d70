package changelogserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"
)

const lookEvery = 100 * time.Millisecond

// ReadFile reads a list of engines that WriteFile wrote.
func ReadFile(path string) ([]Host, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("list of engines: %w", err)
	}
	var hosts []Host
	if err := json.Unmarshal(text, &hosts); err != nil {
		return nil, fmt.Errorf("list of engines: %s: %w", path, err)
	}
	return hosts, nil
}

// WriteFile writes a list of engines so that whoever reads it finds the old or the new one whole.
func WriteFile(path string, hosts []Host) error {
	text, err := json.MarshalIndent(hosts, "", "  ")
	if err != nil {
		return fmt.Errorf("list of engines: %w", err)
	}
	next := path + ".next"
	if err := os.WriteFile(next, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("list of engines: %w", err)
	}
	if err := os.Rename(next, path); err != nil {
		return fmt.Errorf("list of engines: %w", err)
	}
	return nil
}

// Follow adds an event for whatever changes in a file, until ctx ends.
func (l *ChangeLog) Follow(ctx context.Context, path string, was []Host) error {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		now, err := ReadFile(path)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return err
		}
		if changed := Changed(was, now); len(changed) > 0 {
			l.Change(changed...)
		}
		was = now
	}
}

// Changed are the hosts of a list that differ from an earlier one; those that it lacks are terminated.
func Changed(was, now []Host) (out []Host) {
	old, there := map[string]Host{}, map[string]bool{}
	for _, h := range was {
		old[h.ID] = h
	}
	for _, h := range now {
		there[h.ID] = true
		if o, known := old[h.ID]; !known || o != h {
			out = append(out, h)
		}
	}
	for _, h := range was {
		if !there[h.ID] && h.Health != "terminated" {
			h.Health = "terminated"
			out = append(out, h)
		}
	}
	return out
}
