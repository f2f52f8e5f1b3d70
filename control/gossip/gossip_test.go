package gossip

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestDue(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		config Config
		after  time.Duration
		want   bool
	}{
		"after the interval":  {Config{Enabled: true, Brokers: 2}, interval, true},
		"before the interval": {Config{Enabled: true, Brokers: 2}, interval - 1, false},
		"only broker":         {Config{Enabled: true, Brokers: 1}, interval, false},
		"gossip disabled":     {Config{Brokers: 2}, interval, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := Schedule{config: c.config, sentAt: time.Second}
			if got := s.Due(time.Second + c.after); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestSendReachesEveryOtherBroker(t *testing.T) {
	t.Parallel()
	const brokers, self = 5, 3
	s := NewSchedule(Config{Enabled: true, Brokers: brokers, BrokerIndex: self})
	rng, sent := rand.New(rand.NewPCG(1, 1)), [brokers]int{}
	for range 100 {
		sent[s.Send(time.Second, rng)]++
	}
	for broker, n := range sent {
		if (n == 0) != (broker == self) {
			t.Errorf("broker %d received %d messages from broker %d", broker, n, self)
		}
	}
	if s.Due(time.Second) {
		t.Error("a message is due immediately after the previous one")
	}
}
