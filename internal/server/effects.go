package server

import (
	"go.uber.org/zap"

	"wheatlane/internal/broker"
	"wheatlane/internal/server/enginepool"
	"wheatlane/internal/server/frontend"
	"wheatlane/internal/server/gossiptransport"
)

// effectExecutor performs the reducer's effects. The loop owns it.
type effectExecutor struct {
	frontend *frontend.Frontend
	pool     *enginepool.Pool
	gossip   *gossiptransport.Transport // nil if gossip is disabled
	usage    *usageLog
	log      *zap.Logger
}

func (ex *effectExecutor) execute(effect broker.Effect) {
	switch effect := effect.(type) {
	case broker.Reply:
		ex.reply(effect)
	case broker.AdmitSession:
		ex.frontend.Admit(effect.Session)
	case broker.CloseSession:
		ex.frontend.CloseSession(effect.Session, effect.Reason)
	case broker.StartAttempt:
		ex.startAttempt(effect)
	case broker.FetchPage:
		ex.pool.FetchPage(effect)
	case broker.CancelAttempt:
		ex.pool.CancelAttempt(effect.Attempt)
	case broker.CancelIfUnsent:
		ex.pool.WithdrawAttempt(effect.Attempt)
	case broker.ReleaseAttempt:
		ex.pool.ReleaseAttempt(effect)
	case broker.SetPriority:
		ex.pool.SetPriority(effect)
	case broker.ProbeLoad:
		ex.usage.LoadProbes++
		ex.pool.StartProbe(effect)
	case broker.SendGossip:
		ex.usage.GossipSent++
		ex.gossip.Send(effect.Broker, effect.Reports)
	case broker.CancelUnsentAttempts:
		ex.pool.Drain(effect.Engine)
	case broker.CloseEngineConnections:
		ex.pool.CloseConnections(effect.Engine, effect.DialedBefore)
	case broker.InvariantViolation: // already counted by the reducer
		logViolation(ex.log, effect.Rule,
			zap.Uint32("session", uint32(effect.Session)), zap.String("request", effect.RequestID))
	case broker.EngineEjected:
		ex.log.Info("engine ejected", zap.String("engine", effect.Engine), zap.Stringer("reason", effect.Reason))
	case broker.EngineRestored:
		ex.log.Info("engine restored", zap.String("engine", effect.Engine))
	case broker.ResultInvalid:
		ex.log.Info("result page invalid", zap.String("engine", effect.Engine), zap.String("reason", effect.Err.Error()))
	}
}

func (ex *effectExecutor) reply(reply broker.Reply) {
	if reply.Kind == broker.ReplyRejected {
		ex.usage.Rejections++
	}
	ex.frontend.Reply(reply)
}

func (ex *effectExecutor) startAttempt(start broker.StartAttempt) {
	if start.Attempt.Number == 0 {
		ex.usage.FirstAttempts++
	} else {
		ex.usage.Retries++
	}
	ex.pool.StartAttempt(start)
}
