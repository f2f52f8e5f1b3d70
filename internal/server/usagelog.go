package server

import (
	"time"

	"go.uber.org/zap"

	"wheatlane/internal/server/enginepool"
	"wheatlane/internal/usage"
)

// usageLogInterval is the interval between usage log lines.
const usageLogInterval = 5 * time.Second

// usageLog counts and logs the broker's use of resources that the fleet shares. From the logs of all brokers, the usage
// of a fleet can be summed over a day (docs/operators/fleet-at-size.md). The loop owns it.
type usageLog struct {
	usage.Counters                // since the start; EndpointPolls, Dials and LivenessProbes as of the last line
	logged         usage.Counters // as of the last line
	loggedAt       time.Time
	log            *zap.Logger
}

// isDue reports whether the next line is due.
func (u *usageLog) isDue() bool { return time.Since(u.loggedAt) > usageLogInterval }

// write logs the usage since the previous line, if there is any. polls and pool hold the counters of the endpoint
// watcher and the engine pool.
func (u *usageLog) write(polls uint64, pool enginepool.Stats) {
	u.loggedAt = time.Now()
	u.EndpointPolls, u.Dials, u.LivenessProbes = polls, pool.Dials, pool.LivenessProbes
	spent := u.Since(u.logged)
	u.logged = u.Counters
	if spent == (usage.Counters{}) {
		return
	}
	fields := make([]zap.Field, 0, len(usage.FieldNames))
	for _, name := range usage.FieldNames {
		count, _ := spent.Count(name) // every field name has a counter
		fields = append(fields, zap.Uint64(name, count))
	}
	u.log.Info(usage.LogMessage, fields...)
}
