package server

import (
	"time"

	"wheatlane/internal/broker"
	"wheatlane/internal/config"
)

// servedSessionGrace is the time after a result for which its client's connection is not closed for another client.
const servedSessionGrace = time.Second

// memoryDivider divides the memory limit again whenever the number of listed engines has changed. The loop owns it.
type memoryDivider struct {
	cfg           config.Config
	maxSessions   int // by the limit of descriptors
	loop          *eventLoop
	limitFrontend func(inputBytes, outputBytes int)

	divided bool
	engines int // of the last division
}

// divide applies the shares for the engines that are listed now.
func (d *memoryDivider) divide() {
	engines := d.loop.reducer.ListedEngines()
	if d.divided && engines == d.engines {
		return
	}
	d.divided, d.engines = true, engines
	shares := MemoryShares(d.cfg, engines)
	d.limitFrontend(shares.InputBytes, shares.OutputBytes)
	d.loop.enqueue(broker.LimitResources{
		MaxSessions: min(d.maxSessions, shares.Sessions),
		Memory: broker.MemoryLimits{
			StatementBytes: shares.StatementBytes, ResultBytes: shares.ResultBytes, ServedSessionGrace: servedSessionGrace,
		},
	})
}
