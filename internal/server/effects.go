package server

import (
	"go.uber.org/zap"

	"wheatlane/internal/broker"
	"wheatlane/internal/server/enginepool"
	"wheatlane/internal/server/frontend"
	"wheatlane/internal/server/gossiptransport"
)

// effectExecutor carries out what the reducer decided. The loop owns it.
type effectExecutor struct {
	frontend *frontend.Frontend
	pool     *enginepool.Pool
	gossip   *gossiptransport.Transport // nil: the reducer sends no gossip
	usage    *usageLog
	log      *zap.Logger
}

func (ex *effectExecutor) execute(effect broker.Effect) {
	switch e := effect.(type) {
	case broker.Reply:
		ex.reply(e)
	case broker.AdmitSession:
		ex.frontend.Admit(e.Session)
	case broker.CloseSession:
		ex.frontend.CloseSession(e.Session, e.Reason)
	case broker.StartAttempt:
		ex.startAttempt(e)
	case broker.FetchPage:
		ex.pool.FetchPage(e)
	case broker.CancelAttempt:
		ex.pool.CancelAttempt(e.Attempt)
	case broker.WithdrawUnsent:
		ex.pool.WithdrawAttempt(e.Attempt)
	case broker.ReleaseAttempt:
		ex.pool.ReleaseAttempt(e)
	case broker.SetPriority:
		ex.pool.SetPriority(e)
	case broker.ProbeLoad:
		ex.usage.LoadProbes++
		ex.pool.StartProbe(e)
	case broker.SendGossip:
		ex.usage.GossipSent++
		ex.gossip.Send(e.Broker, e.Reports)
	case broker.CancelUnsent:
		ex.pool.Drain(e.Engine)
	case broker.CloseEngineConnections:
		ex.pool.CloseConnections(e.Engine, e.DialedBefore)
	case broker.InvariantViolation: // which the reducer has counted
		logViolation(ex.log, e.Rule, zap.Uint32("session", uint32(e.Session)), zap.String("request", e.RequestID))
	case broker.EngineEjected:
		ex.log.Info("engine ejected", zap.String("engine", e.Engine), zap.Stringer("reason", e.Reason))
	case broker.EngineRestored:
		ex.log.Info("engine restored", zap.String("engine", e.Engine))
	case broker.ResultInvalid:
		ex.log.Info("result page invalid", zap.String("engine", e.Engine), zap.String("reason", e.Err.Error()))
	}
}

func (ex *effectExecutor) reply(e broker.Reply) {
	if e.Kind == broker.ReplyRejected {
		ex.usage.Rejections++
	}
	ex.frontend.Reply(e)
}

func (ex *effectExecutor) startAttempt(e broker.StartAttempt) {
	if e.Attempt.Number == 0 {
		ex.usage.FirstAttempts++
	} else {
		ex.usage.Retries++
	}
	ex.pool.StartAttempt(e)
}
