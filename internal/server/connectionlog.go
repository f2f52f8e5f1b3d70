package server

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"wheatlane/internal/server/netconn"
)

// reasonsWithError are the reasons that say too little without the error behind them.
var reasonsWithError = []netconn.Reason{
	netconn.OtherError, netconn.Malformed, netconn.HTTPStatus, netconn.ConnectFailed,
}

// connectionLog counts and logs connections that ended. Any goroutine may use it.
type connectionLog struct {
	log    *zap.Logger
	counts netconn.EndCounts
}

// recordEnd records the end of a connection, or that it was not established, for which err is the reason.
func (l *connectionLog) recordEnd(side netconn.Side, peer string, openedAt time.Time, err error) {
	reason := netconn.ReasonOf(err)
	l.counts.Add(side, reason)
	fields := []zap.Field{
		zap.String("side", string(side)), zap.String("peer", peer), zap.String("reason", string(reason)),
		zap.Duration("lasted", time.Since(openedAt)),
	}
	if slices.Contains(reasonsWithError, reason) {
		fields = append(fields, zap.Error(err))
	}
	l.log.Info("connection ended", fields...)
}
