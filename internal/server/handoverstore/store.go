// Package handoverstore keeps the file with the engines in maintenance mode in step with this process and with another
// process of the same broker, as there is at an upgrade: what changes here is written until that works, and what the
// other process writes is passed on.
package handoverstore

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"time"

	"go.uber.org/zap"

	"wheatlane/internal/handover"
	"wheatlane/internal/transient"
)

const (
	// syncInterval is how often the file is checked for changes of another process, and how long after a failed write
	// the next one comes.
	syncInterval = 100 * time.Millisecond
	// restoreWithin bounds the attempts to read the file at the start.
	restoreWithin = 2 * time.Second
	// lastWriteWithin bounds the attempts to write the file at the end, lastWriteRetryDelay is the time between them.
	lastWriteWithin     = 200 * time.Millisecond
	lastWriteRetryDelay = 25 * time.Millisecond
	// writeLogInterval is the least time between log lines of writes that fail.
	writeLogInterval = time.Second
)

// Config is what a store needs.
type Config struct {
	Dir    string // of the file
	Broker string // the name of this broker; the file of another one is not used
	Log    *zap.Logger
}

// Adopter applies changes that another process of the broker has written.
type Adopter interface {
	// AdoptMaintenance passes the changes on. It may wait, until ctx ends.
	AdoptMaintenance(ctx context.Context, changes []handover.Change)
}

// Store synchronizes the file. Restore comes first and Run after it, on one goroutine each.
type Store struct {
	dir    string
	broker string
	log    *zap.Logger
	wakeup chan struct{}

	mu      sync.Mutex // guards what follows
	pending []handover.Change
	waiting []chan struct{} // closed once all that is pending now is stored

	// Owned by the goroutine of Run.
	state    handover.State // as the file had it last
	version  fileVersion    // of the file that was read or written last
	loggedAt time.Time      // when a failed write was logged last
}

// New returns a store. It does not touch the file.
func New(cfg Config) *Store {
	return &Store{
		dir: cfg.Dir, broker: cfg.Broker, log: cfg.Log, wakeup: make(chan struct{}, 1),
		state: handover.State{Broker: cfg.Broker},
	}
}

// Restore returns the engines that the previous process had in maintenance mode. Without a file that can be used there
// are none, and what can be read later is adopted.
func (s *Store) Restore(ctx context.Context) []string {
	handover.RemoveStaleTempFiles(s.dir)
	err := transient.Retry(ctx, restoreWithin, transient.IsFile, s.read)
	switch {
	case errors.Is(err, handover.ErrNotFound):
		return nil
	case err != nil:
		s.log.Warn("started without the maintenance state of the previous process", zap.Error(err))
		return nil
	}
	engines := s.state.MaintenanceEngines
	s.log.Info("maintenance state restored", zap.Strings("engines", engines))
	return engines
}

// read reads the file and keeps its state and version.
func (s *Store) read() error {
	version, err := s.readVersion()
	if err != nil {
		return err
	}
	state, err := handover.Read(s.dir, s.broker)
	if err == nil {
		s.state, s.version = state, version
	}
	return err
}

// readVersion returns the version of the file; the zero value without one.
func (s *Store) readVersion() (fileVersion, error) {
	info, err := os.Stat(filepath.Join(s.dir, handover.FileName))
	if errors.Is(err, os.ErrNotExist) {
		return fileVersion{}, nil
	}
	if err != nil {
		return fileVersion{}, err
	}
	return fileVersion{inode: info, size: info.Size(), modifiedAt: info.ModTime()}, nil
}

// Record has a change written. The returned channel is closed once it is stored. Any goroutine may call it.
func (s *Store) Record(change handover.Change) (stored <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	done := make(chan struct{})
	s.pending, s.waiting = append(s.pending, change), append(s.waiting, done)
	select {
	case s.wakeup <- struct{}{}:
	default: // it is awake already
	}
	return done
}

// Run synchronizes the file until ctx ends, and then writes what is left.
func (s *Store) Run(ctx context.Context, adopter Adopter) error {
	for {
		select {
		case <-ctx.Done():
			s.writeLast()
			return ctx.Err()
		case <-s.wakeup:
		case <-time.After(syncInterval):
		}
		s.adopt(ctx, adopter)
		s.write()
	}
}

// adopt applies what another process has written since the file was read or written here.
func (s *Store) adopt(ctx context.Context, adopter Adopter) {
	version, err := s.readVersion()
	if err != nil || version.inode == nil || version.equal(s.version) {
		return
	}
	before := s.state
	if s.read() != nil {
		return // it is looked at again; a corrupt file changes nothing
	}
	changes := before.ChangesTo(s.state)
	if len(changes) > 0 {
		adopter.AdoptMaintenance(ctx, changes)
	}
}

// write writes what is pending, on top of what the file has. What fails stays pending.
func (s *Store) write() {
	s.mu.Lock()
	pending, waiting := s.pending, s.waiting
	s.mu.Unlock()
	if len(pending) == 0 {
		return
	}
	next := s.state.With(pending)
	if err := handover.Write(s.dir, next); err != nil {
		if time.Since(s.loggedAt) > writeLogInterval {
			s.loggedAt = time.Now()
			s.log.Warn("maintenance state not written for the next process", zap.Error(err))
		}
		return
	}
	s.state = next
	if version, err := s.readVersion(); err == nil { // else it is read once more
		s.version = version
	}
	s.mu.Lock()
	s.pending, s.waiting = s.pending[len(pending):], s.waiting[len(waiting):]
	s.mu.Unlock()
	for _, done := range waiting {
		close(done)
	}
}

// writeLast writes what is left at the end of the process.
func (s *Store) writeLast() {
	for end := time.Now().Add(lastWriteWithin); time.Now().Before(end); time.Sleep(lastWriteRetryDelay) {
		s.write()
		s.mu.Lock()
		left := len(s.pending)
		s.mu.Unlock()
		if left == 0 {
			return
		}
	}
}
