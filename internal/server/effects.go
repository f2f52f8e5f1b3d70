package server

import (
	"go.uber.org/zap"

	"wheatlane/internal/broker"
	"wheatlane/internal/server/enginepool"
	"wheatlane/internal/server/frontend"
	"wheatlane/internal/server/gossiptransport"
)

// effects carries out what the reducer decided. The loop owns it.
type effects struct {
	frontend *frontend.Frontend
	pool     *enginepool.Pool
	gossip   *gossiptransport.Transport // nil: the reducer sends no gossip
	usage    *usageLog
	log      *zap.Logger
}

func (x *effects) execute(effect broker.Effect) {
	switch e := effect.(type) {
	case broker.Reply:
		x.reply(e)
	case broker.AdmitSession:
		x.frontend.Admit(e.Session)
	case broker.CloseSession:
		x.frontend.CloseSession(e.Session, e.Reason)
	case broker.StartAttempt:
		x.startAttempt(e)
	case broker.FetchPage:
		x.pool.FetchPage(e)
	case broker.CancelAttempt:
		x.pool.CancelAttempt(e.Attempt)
	case broker.WithdrawUnsent:
		x.pool.WithdrawAttempt(e.Attempt)
	case broker.ReleaseAttempt:
		x.pool.ReleaseAttempt(e)
	case broker.SetPriority:
		x.pool.SetPriority(e)
	case broker.ProbeLoad:
		x.usage.LoadProbes++
		x.pool.StartProbe(e)
	case broker.SendGossip:
		x.usage.GossipSent++
		x.gossip.Send(e.Broker, e.Reports)
	case broker.CancelUnsent:
		x.pool.Drain(e.Engine)
	case broker.CloseEngineConnections:
		x.pool.CloseConnections(e.Engine, e.DialedBefore)
	case broker.InvariantViolation: // which the reducer has counted
		logViolation(x.log, e.Rule, zap.Uint32("session", uint32(e.Session)), zap.String("request", e.RequestID))
	case broker.EngineEjected:
		x.log.Info("engine ejected", zap.String("engine", e.Engine), zap.Stringer("reason", e.Reason))
	case broker.EngineRestored:
		x.log.Info("engine restored", zap.String("engine", e.Engine))
	case broker.ResultInvalid:
		x.log.Info("result page invalid", zap.String("engine", e.Engine), zap.String("reason", e.Err.Error()))
	}
}

func (x *effects) reply(e broker.Reply) {
	if e.Kind == broker.ReplyRejected {
		x.usage.Rejections++
	}
	x.frontend.Reply(e)
}

func (x *effects) startAttempt(e broker.StartAttempt) {
	if e.Attempt.Number == 0 {
		x.usage.FirstAttempts++
	} else {
		x.usage.Retries++
	}
	x.pool.StartAttempt(e)
}
