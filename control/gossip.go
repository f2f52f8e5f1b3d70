package control

import "time"

// gossipInterval is the time between two messages to other brokers; a message is cheap.
const gossipInterval = 200 * time.Millisecond

// gossipSchedule says when to gossip.
type gossipSchedule struct{ sentAt time.Duration }

// sendGossip sends another broker, drawn by chance, the engines' loads, reported here or received by gossip:
// so reports reach all brokers within seconds, at a price that does not grow with their number.
func (c *Controller) sendGossip() {
	brokers := c.settings.Brokers
	due := c.now-c.gossip.sentAt >= gossipInterval
	if !c.settings.Limits.Gossip || c.endpoints.pool == nil || brokers < 2 || !due {
		return
	}
	if reports := c.recentLoadReports(seconds(loadReportDecay)); len(reports) > 0 {
		c.gossip.sentAt = c.now
		c.emit(SendGossip{(c.settings.BrokerIndex + 1 + c.rng.IntN(brokers-1)) % brokers, reports})
	}
}

// gossipReceived takes the load reports that are younger than what is known. Without them a broker of many,
// which sees an engine once in many seconds, sends to it by the load that it had then.
func (c *Controller) gossipReceived(gossip GossipReceived) {
	for _, report := range gossip.Reports {
		e := c.endpoints.byGossipID(report.Engine)
		if e == nil {
			continue
		}
		if at := c.now - max(0, report.Age); at > max(e.loadReportedAt, e.StartedAt) {
			e.load, e.loadReportedAt = max(0, report.Load), at
		}
	}
}
