package control

import (
	"cmp"
	"slices"

	"wheatlane/control/units"
)

// sendGossip sends another broker the engines' loads, reported here or received by gossip.
func (c *Controller) sendGossip() {
	if c.endpoints.pool == nil || !c.gossip.Due(c.now) {
		return
	}
	if reports := c.knownLoads(); len(reports) > 0 {
		c.emit(SendGossip{c.gossip.Send(c.now, c.rng), reports})
	}
}

// knownLoads returns the known loads of engines that take requests, the youngest first.
func (c *Controller) knownLoads() []GossipedLoad {
	var loads []GossipedLoad
	for _, e := range c.endpoints.all {
		if e.loadKnown(c.now) {
			loads = append(loads, GossipedLoad{
				Engine: e.gossipID, Load: float64(e.load.Load()), Age: e.load.Age(c.now),
			})
		}
	}
	slices.SortStableFunc(loads, func(a, b GossipedLoad) int { return cmp.Compare(a.Age, b.Age) })
	return loads
}

// gossipReceived takes the loads that are younger than what is known.
func (c *Controller) gossipReceived(gossip GossipReceived) {
	for _, report := range gossip.Reports {
		if e := c.endpoints.byGossipID(report.Engine); e != nil {
			e.load.Receive(units.Fraction(report.Load), c.now-max(0, report.Age), e.StartedAt)
		}
	}
}
