// Package gossip decides when a broker of a fleet sends load reports to another broker, and to which one. It
// sends to one broker at a time, so that reports reach all brokers within seconds while the rate of messages
// that a broker sends does not grow with the fleet.
package gossip

import (
	"math/rand/v2"
	"time"
)

// interval is the minimum time between two messages to other brokers.
const interval = 200 * time.Millisecond

// Config specifies the gossip of a deployment.
type Config struct {
	Enabled     bool
	Brokers     int // number of brokers in the fleet, including this one
	BrokerIndex int // index of this broker, from 0
}

// Schedule decides when a broker sends its messages.
type Schedule struct {
	config Config
	sentAt time.Duration
}

// NewSchedule returns the schedule of a broker that has not sent a message yet.
func NewSchedule(config Config) Schedule { return Schedule{config: config} }

// Due reports whether a message may be sent now. It is never due while the fleet has no other broker.
func (s *Schedule) Due(now time.Duration) bool {
	return s.config.Enabled && s.config.Brokers > 1 && now-s.sentAt >= interval
}

// Send records that a message is sent now, and returns the broker that receives it, drawn at random.
func (s *Schedule) Send(now time.Duration, rng *rand.Rand) (broker int) {
	s.sentAt = now
	others := s.config.Brokers - 1
	return (s.config.BrokerIndex + 1 + rng.IntN(others)) % s.config.Brokers
}
