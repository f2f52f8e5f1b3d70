package server

import "time"

// Times of a planned restart.
const (
	shutdownAcceptWindow = time.Second            // requests go on coming after SIGTERM; protocol: up to 0.4 s
	maxCountedTimeout    = 3 * time.Second        // protocol: longer client timeouts count as this until SIGKILL
	shutdownExtra        = 700 * time.Millisecond // protocol: and so much more
	finalAnswerMargin    = 250 * time.Millisecond // ours: what is open is answered so long before SIGKILL
	finalFlushTimeout    = 200 * time.Millisecond // the final answers leave within it, before SIGKILL
)
