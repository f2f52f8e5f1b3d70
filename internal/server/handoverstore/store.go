// Package handoverstore synchronizes the hand-over file, which lists the engines in maintenance mode, between this
// process and another process of the same broker, as during an upgrade: changes in this process are written, with
// retries until that succeeds, and changes by the other process are passed to an Adopter.
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
	// syncInterval is the time between checks of the file for changes by another process. A failed write is retried
	// after the same time.
	syncInterval = 100 * time.Millisecond
	// restoreRetryTime bounds the attempts to read the file at the start.
	restoreRetryTime = 2 * time.Second
	// finalWriteTimeout bounds the attempts to write the file at the end, finalWriteRetryDelay is the time between them.
	finalWriteTimeout    = 100 * time.Millisecond
	finalWriteRetryDelay = 25 * time.Millisecond
	// writeLogInterval is the minimum time between log lines of failed writes.
	writeLogInterval = time.Second
)

// Config configures a store.
type Config struct {
	Dir    string // directory of the file
	Broker string // name of this broker; the file of a different broker is ignored
	Log    *zap.Logger
}

// Adopter applies changes that another process of the broker has written.
type Adopter interface {
	// AdoptMaintenance applies the changes. It may block until ctx ends.
	AdoptMaintenance(ctx context.Context, changes []handover.Change)
}

// Store synchronizes the file. Restore must be called before Run, and each on one goroutine only.
type Store struct {
	dir    string
	broker string
	log    *zap.Logger
	wakeup chan struct{}

	mu      sync.Mutex // guards the fields below
	pending []handover.Change
	waiting []chan struct{} // for each pending change: closed once the change is stored

	// Owned by the goroutine of Run.
	state    handover.State // last state that was read or written
	version  fileVersion    // of the file with that state
	loggedAt time.Time      // when a failed write was last logged
}

// New returns a store. It does not access the file.
func New(cfg Config) *Store {
	return &Store{
		dir: cfg.Dir, broker: cfg.Broker, log: cfg.Log, wakeup: make(chan struct{}, 1),
		state: handover.State{Broker: cfg.Broker},
	}
}

// Restore returns the engines that the previous process had in maintenance mode. If no usable file exists, it returns
// none; a file that becomes readable later is adopted by Run.
func (s *Store) Restore(ctx context.Context) []string {
	handover.RemoveStaleTempFiles(s.dir)
	err := transient.Retry(ctx, restoreRetryTime, transient.IsFileError, s.read)
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

// read reads the file and records its state and version.
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

// readVersion returns the version of the file, or the zero value if the file does not exist.
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

// Record schedules a change to be written. The returned channel is closed once the change is stored. Any goroutine may
// call Record.
func (s *Store) Record(change handover.Change) (stored <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	done := make(chan struct{})
	s.pending, s.waiting = append(s.pending, change), append(s.waiting, done)
	select {
	case s.wakeup <- struct{}{}:
	default: // a wake-up is already pending
	}
	return done
}

// Run synchronizes the file until ctx ends, and then writes the remaining changes.
func (s *Store) Run(ctx context.Context, adopter Adopter) error {
	for {
		select {
		case <-ctx.Done():
			s.writeRemaining()
			return ctx.Err()
		case <-s.wakeup:
		case <-time.After(syncInterval):
		}
		s.adopt(ctx, adopter)
		s.write()
	}
}

// adopt applies the changes that another process has written since this process last read or wrote the file.
func (s *Store) adopt(ctx context.Context, adopter Adopter) {
	version, err := s.readVersion()
	if err != nil || version.inode == nil || version.equal(s.version) {
		return
	}
	before := s.state
	if s.read() != nil {
		return // retried at the next check; a corrupt file has no effect
	}
	changes := before.Diff(s.state)
	if len(changes) > 0 {
		adopter.AdoptMaintenance(ctx, changes)
	}
}

// write writes the last known state of the file with the pending changes applied. If the write fails, the changes stay
// pending.
func (s *Store) write() {
	s.mu.Lock()
	pending, waiting := s.pending, s.waiting
	s.mu.Unlock()
	if len(pending) == 0 {
		return
	}
	next := s.state.Apply(pending)
	if err := handover.Write(s.dir, next); err != nil {
		if time.Since(s.loggedAt) > writeLogInterval {
			s.loggedAt = time.Now()
			s.log.Warn("maintenance state not written for the next process", zap.Error(err))
		}
		return
	}
	s.state = next
	if version, err := s.readVersion(); err == nil { // otherwise adopt reads the file again
		s.version = version
	}
	s.mu.Lock()
	s.pending, s.waiting = s.pending[len(pending):], s.waiting[len(waiting):]
	s.mu.Unlock()
	for _, done := range waiting {
		close(done)
	}
}

// writeRemaining writes the pending changes at the end of the process, within finalWriteTimeout.
func (s *Store) writeRemaining() {
	for end := time.Now().Add(finalWriteTimeout); time.Now().Before(end); time.Sleep(finalWriteRetryDelay) {
		s.write()
		s.mu.Lock()
		remaining := len(s.pending)
		s.mu.Unlock()
		if remaining == 0 {
			return
		}
	}
}
