package handoverstore

import (
	"testing"
	"time"
)

// A process whose folder could not be written was still there when SIGKILL came: the writes at its end took all the
// time that the shutdown leaves for the exit.
func TestFinalWriteLeavesTimeToExit(t *testing.T) {
	const timeToExit = 200 * time.Millisecond // of the graceful shutdown
	if finalWriteTimeout+finalWriteRetryDelay >= timeToExit {
		t.Errorf("the last writes may take %v of %v", finalWriteTimeout, timeToExit)
	}
}
