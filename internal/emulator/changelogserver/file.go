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
func ReadFile(path string) ([]Endpoint, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read endpoint list: %w", err)
	}
	var endpoints []Endpoint
	if err := json.Unmarshal(text, &endpoints); err != nil {
		return nil, fmt.Errorf("decode endpoint list %s: %w", path, err)
	}
	return endpoints, nil
}

// WriteFile replaces an endpoint list atomically: readers find either the previous or the new list, complete.
func WriteFile(path string, endpoints []Endpoint) error {
	text, err := json.MarshalIndent(endpoints, "", "  ")
	if err != nil {
		return fmt.Errorf("encode endpoint list: %w", err)
	}
	temporary := path + ".next"
	if err := os.WriteFile(temporary, append(text, '\n'), filePermissions); err != nil {
		return fmt.Errorf("write endpoint list: %w", err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return fmt.Errorf("replace endpoint list: %w", err)
	}
	return nil
}

// FollowFile publishes the changes of an endpoint list file, starting from a known list, until ctx is done. It ignores
// a missing file.
func (l *ChangeLog) FollowFile(ctx context.Context, path string, known []Endpoint) error {
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
		if changed := Diff(known, current); len(changed) > 0 {
			l.Publish(changed...)
		}
		known = current
	}
}

// Diff returns the endpoints of the current list that are new or changed, followed by those that are missing from it,
// marked as terminated.
func Diff(earlier, current []Endpoint) (changed []Endpoint) {
	previous, listed := map[string]Endpoint{}, map[string]bool{}
	for _, e := range earlier {
		previous[e.ID] = e
	}
	for _, e := range current {
		listed[e.ID] = true
		if p, known := previous[e.ID]; !known || p != e {
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
