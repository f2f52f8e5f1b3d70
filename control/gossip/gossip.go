// Package gossip decides when a broker of a fleet sends load reports to another one, and to which: one at a
// time, so that reports reach all brokers within seconds at a price that does not grow with their number.
package gossip

import (
	"math/rand/v2"
	"time"
)

// interval is the least time between two messages to other brokers.
const interval = 200 * time.Millisecond

// Config is what a deployment says of gossip.
type Config struct {
	Enabled     bool
	Brokers     int // of the fleet, this one included
	BrokerIndex int // of this broker, from 0
}

// Schedule is the schedule of a broker's messages.
type Schedule struct {
	config Config
	sentAt time.Duration
}

// NewSchedule returns the schedule of a broker that has sent nothing.
func NewSchedule(config Config) Schedule { return Schedule{config: config} }

// Due reports whether a message may be sent now. A broker that has no other to send to sends none.
func (s *Schedule) Due(now time.Duration) bool {
	return s.config.Enabled && s.config.Brokers > 1 && now-s.sentAt >= interval
}

// Send records that a message is sent now, and draws the broker that gets it.
func (s *Schedule) Send(now time.Duration, rng *rand.Rand) (broker int) {
	s.sentAt = now
	others := s.config.Brokers - 1
	return (s.config.BrokerIndex + 1 + rng.IntN(others)) % s.config.Brokers
}
