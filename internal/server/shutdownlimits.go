package server

import "time"

// Times of a planned restart.
const (
	stopWindow = time.Second            // requests go on coming after SIGTERM; the protocol says up to 0.4 s
	stopCap    = 3 * time.Second        // protocol: longer client timeouts count as this until SIGKILL
	stopExtra  = 700 * time.Millisecond // protocol: and so much more
	stopMargin = 250 * time.Millisecond // ours: what is open is answered so long before SIGKILL
	flushWait  = 200 * time.Millisecond // the final answers get so long to leave, which ends before SIGKILL
	doorWait   = 20 * time.Millisecond  // what has come to the sockets is read within it
)
