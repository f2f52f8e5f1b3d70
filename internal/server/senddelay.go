package server

import "time"

const (
	// maxEngineSendDelay bounds how long bytes for an engine may wait before they leave, in the send queue or behind
	// others that the system does not take: a send that was decided on before a drain was known must not leave after
	// the drain's grace period. engineSendDelay has the bound of a deployment.
	maxEngineSendDelay = 400 * time.Millisecond
	drainGraceFraction = 0.8 // of the deployment's grace period; the rest is for the network
)

// engineSendDelay is how long bytes for an engine may wait in a deployment that wants them sent within
// grace after a drain. Without a grace period the bound is maxEngineSendDelay.
func engineSendDelay(grace time.Duration) time.Duration {
	if grace <= 0 {
		return maxEngineSendDelay
	}
	return min(maxEngineSendDelay, time.Duration(drainGraceFraction*float64(grace)))
}
