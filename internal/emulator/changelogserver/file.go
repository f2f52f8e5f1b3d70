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

const (
	fileCheckInterval = 100 * time.Millisecond
	filePermissions   = 0o644
)

// ReadFile reads an endpoint list that WriteFile wrote.
func ReadFile(path string) ([]Host, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("endpoint list: %w", err)
	}
	var endpoints []Host
	if err := json.Unmarshal(text, &endpoints); err != nil {
		return nil, fmt.Errorf("endpoint list: %s: %w", path, err)
	}
	return endpoints, nil
}

// WriteFile replaces an endpoint list atomically: readers find the old or the new one complete.
func WriteFile(path string, endpoints []Host) error {
	text, err := json.MarshalIndent(endpoints, "", "  ")
	if err != nil {
		return fmt.Errorf("endpoint list: %w", err)
	}
	next := path + ".next"
	if err := os.WriteFile(next, append(text, '\n'), filePermissions); err != nil {
		return fmt.Errorf("endpoint list: %w", err)
	}
	if err := os.Rename(next, path); err != nil {
		return fmt.Errorf("endpoint list: %w", err)
	}
	return nil
}

// Follow publishes whatever changes in a file from a known list on, until ctx ends.
func (l *ChangeLog) Follow(ctx context.Context, path string, known []Host) error {
	ticker := time.NewTicker(fileCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		current, err := ReadFile(path)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return err
		}
		if changed := Changed(known, current); len(changed) > 0 {
			l.Change(changed...)
		}
		known = current
	}
}

// Changed returns the endpoints of a list that differ from those of an earlier one, followed by those that
// it lacks, as terminated.
func Changed(earlier, current []Host) (changed []Host) {
	before, listed := map[string]Host{}, map[string]bool{}
	for _, e := range earlier {
		before[e.ID] = e
	}
	for _, e := range current {
		listed[e.ID] = true
		if was, known := before[e.ID]; !known || was != e {
			changed = append(changed, e)
		}
	}
	for _, e := range earlier {
		if !listed[e.ID] && e.Health != Terminated {
			e.Health = Terminated
			changed = append(changed, e)
		}
	}
	return changed
}
