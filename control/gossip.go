package control

import (
	"cmp"
	"slices"
	"time"

	"wheatlane/control/units"
)

// sendGossip sends the known loads of the engines, reported to this broker or received by gossip, to one
// other broker.
func (c *Controller) sendGossip() {
	if c.endpoints.pool == nil || !c.gossip.Due(c.now) {
		return
	}
	if loads := c.endpoints.knownLoads(c.now); len(loads) > 0 {
		c.emit(SendGossip{c.gossip.Send(c.now, c.rng), loads})
	}
}

// knownLoads returns the known loads of engines that accept requests, the most recent first.
func (s *endpointSet) knownLoads(now time.Duration) []GossipedLoad {
	loads := make([]GossipedLoad, 0, len(s.all))
	for _, engine := range s.all {
		if engine.loadKnown(now) {
			load, age := float64(engine.load.Load()), engine.load.Age(now)
			loads = append(loads, GossipedLoad{Engine: engine.gossipID, Load: load, Age: age})
		}
	}
	slices.SortStableFunc(loads, func(a, b GossipedLoad) int { return cmp.Compare(a.Age, b.Age) })
	return loads
}

// mergeGossipedLoads applies the gossiped loads that are more recent than the known ones.
func (s *endpointSet) mergeGossipedLoads(loads []GossipedLoad, now time.Duration) {
	for _, gossiped := range loads {
		if engine := s.byGossipID(gossiped.Engine); engine != nil {
			reportedAt := now - max(0, gossiped.Age)
			engine.load.ObserveRemote(units.Fraction(gossiped.Load), reportedAt, engine.StartedAt)
		}
	}
}
