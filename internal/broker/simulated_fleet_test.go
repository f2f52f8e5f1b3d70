package broker

import (
	"fmt"
	"slices"

	"wheatlane/control"
	"wheatlane/internal/changelog"
)

// endpoints returns the complete endpoint list.
func (s *simulation) endpoints() []changelog.Endpoint {
	endpoints := make([]changelog.Endpoint, 0, len(s.engines))
	for _, e := range s.engines {
		endpoints = append(endpoints, e.Endpoint)
	}
	return endpoints
}

func (s *simulation) nextRevision() int64 {
	s.revision++
	return s.revision
}

// publish delivers a page of the change log, occasionally twice.
func (s *simulation) publish(page EndpointChanges) {
	s.apply(page)
	if s.chance(10) {
		s.apply(page)
	}
}

// publishDelta delivers a page with changed endpoints.
func (s *simulation) publishDelta(endpoints ...changelog.Endpoint) {
	s.publish(delta(s.nextRevision(), endpoints...))
}

// changeEndpoints publishes a random change of one engine.
func (s *simulation) changeEndpoints() {
	i := s.rng.IntN(len(s.engines))
	e := s.engines[i]
	switch s.rng.IntN(8) {
	case 0:
		e.State = control.Draining
		s.publishDelta(e.Endpoint)
	case 1:
		removed := e.Endpoint
		removed.State = control.Removed
		s.engines[i] = s.newEngine()
		s.engines[i].StartedAt = s.now
		s.publishDelta(removed, s.engines[i].Endpoint)
	case 2: // restarted a while ago
		e.State, e.StartedAt = control.Ready, s.now-s.between(0, 50*ms)
		s.publishDelta(e.Endpoint)
	case 3: // replaced by another engine at its address
		next := s.newEngine()
		next.Addr, next.StartedAt = e.Addr, s.now
		s.engines[i] = next
		s.publishDelta(next.Endpoint)
	case 4: // new address
		e.Addr = fmt.Sprint("10.0.0.2:", 1000+s.rng.IntN(1000))
		s.publishDelta(e.Endpoint)
	case 5: // replaced by another engine in a snapshot
		s.engines[i] = s.newEngine()
		s.publish(snapshot(s.nextRevision(), s.endpoints()...))
	default:
		e.State = control.Ready
		s.publishDelta(e.Endpoint)
	}
}

// receiveGossip delivers load reports from another broker.
func (s *simulation) receiveGossip() {
	reports := make([]control.GossipedLoad, 1+s.rng.IntN(3))
	for i := range reports {
		e := s.engines[s.rng.IntN(len(s.engines))]
		reports[i] = control.GossipedLoad{
			Engine: control.GossipID(e.ID),
			Load:   s.rng.Float64(),
			Age:    s.between(0, 200*ms),
		}
	}
	s.apply(GossipReceived{Broker: s.rng.IntN(max(1, s.settings.Brokers)), Reports: reports})
}

// changeMaintenance starts, restores or ends the maintenance mode of engines.
func (s *simulation) changeMaintenance() {
	id := s.engines[s.rng.IntN(len(s.engines))].ID
	switch s.rng.IntN(5) {
	case 0:
		s.apply(StartMaintenance{id})
	case 1:
		s.apply(RestoreMaintenance{[]string{id, fmt.Sprintf("engine-%03d", s.lastEngine+1)}})
	default:
		for _, engine := range s.broker.EnginesInMaintenance() {
			s.apply(EndMaintenance{engine})
		}
	}
}

// reload applies settings that differ in one class or limit.
func (s *simulation) reload() {
	settings := s.settings
	settings.Classes = slices.Clone(settings.Classes)
	i := s.rng.IntN(len(settings.Classes))
	switch s.rng.IntN(4) {
	case 0:
		settings.Classes[i].ClientTimeout /= 2
	case 1:
		settings.Classes[i].LatencyObjective = settings.Classes[i].LatencyObjective * 3 / 2
	case 2:
		settings.Classes = slices.Delete(settings.Classes, i, i+1)
	default:
		settings.Limits.MaxAttempts = 1 + s.rng.IntN(4)
	}
	s.apply(UpdateSettings{settings.Settings})
}
