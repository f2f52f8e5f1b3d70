package server

import (
	"time"

	"go.uber.org/zap"

	"wheatlane/internal/server/enginepool"
	"wheatlane/internal/usage"
)

// usageLogInterval is the time between log lines of what the broker spent.
const usageLogInterval = 5 * time.Second

// usageLog counts what the broker spends of what a fleet shares and logs it, so that a day can be counted across all
// brokers from their logs (docs/operators/fleet-at-size.md). The loop owns it.
type usageLog struct {
	usage.Counters                // since the start; those of polls and of the pool as of the last line
	logged         usage.Counters // as of the last line
	loggedAt       time.Time
	log            *zap.Logger
}

// isDue reports whether the next line is due.
func (u *usageLog) isDue() bool { return time.Since(u.loggedAt) > usageLogInterval }

// write logs what was spent since the line before, if there is anything. polls and pool are counted elsewhere.
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
		count, _ := spent.Count(name) // all field names have one
		fields = append(fields, zap.Uint64(name, count))
	}
	u.log.Info(usage.LogMessage, fields...)
}
