package server

import (
	"go.uber.org/zap"

	"wheatlane/internal/broker"
)

// execute carries out effects in their order.
func (s *Server) execute(effects []broker.Effect) {
	for _, effect := range effects {
		s.executeOne(effect)
	}
}

func (s *Server) executeOne(effect broker.Effect) {
	switch e := effect.(type) {
	case broker.Reply:
		s.sendReply(e)
	case broker.AdmitSession:
		s.frontend.Admit(e.Session)
	case broker.CloseSession:
		s.frontend.CloseSession(e.Session, e.Reason)
	case broker.StartAttempt:
		s.startAttempt(e)
	case broker.FetchPage:
		s.pool.FetchPage(e)
	case broker.CancelAttempt:
		s.pool.CancelAttempt(e.Attempt)
	case broker.WithdrawUnsent:
		s.pool.WithdrawAttempt(e.Attempt)
	case broker.ReleaseAttempt:
		s.pool.ReleaseAttempt(e)
	case broker.SetPriority:
		s.pool.SetPriority(e)
	case broker.ProbeLoad:
		s.startProbe(e)
	case broker.SendGossip:
		s.sendGossip(e)
	case broker.CancelUnsent:
		s.pool.Drain(e.Engine)
	case broker.CloseEngineConnections:
		s.pool.CloseConnections(e.Engine, e.DialedBefore)
	case broker.InvariantViolation:
		s.logReducerViolation(e)
	case broker.EngineEjected:
		s.log.Info("engine ejected", zap.String("engine", e.Engine), zap.Stringer("reason", e.Reason))
	case broker.EngineRestored:
		s.log.Info("engine restored", zap.String("engine", e.Engine))
	case broker.ResultInvalid:
		s.log.Info("result page invalid", zap.String("engine", e.Engine), zap.String("reason", e.Err.Error()))
	}
}

func (s *Server) sendReply(e broker.Reply) {
	if e.Kind == broker.ReplyRejected {
		s.usage.Rejections++
	}
	s.frontend.Reply(e)
}

func (s *Server) startAttempt(e broker.StartAttempt) {
	if e.Attempt.Number == 0 {
		s.usage.FirstAttempts++
	} else {
		s.usage.Retries++
	}
	s.pool.StartAttempt(e)
}

func (s *Server) startProbe(e broker.ProbeLoad) {
	s.usage.LoadProbes++
	s.pool.StartProbe(e)
}

func (s *Server) sendGossip(e broker.SendGossip) {
	s.usage.GossipSent++
	s.gossip.Send(e.Broker, e.Reports)
}
