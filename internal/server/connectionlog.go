package server

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"wheatlane/internal/server/netconn"
)

// reasonsWithError lists the reasons that are logged with their error, as the code alone does not identify the cause.
var reasonsWithError = []netconn.Reason{
	netconn.OtherError, netconn.Malformed, netconn.HTTPStatus, netconn.ConnectFailed,
}

// connectionLog counts and logs ended connections. It is safe for concurrent use.
type connectionLog struct {
	log    *zap.Logger
	counts netconn.EndCounts
}

// recordEnd records the end of a connection, or a failed dial. The reason code is derived from err. The line has more
// fields if some are given.
func (l *connectionLog) recordEnd(side netconn.Side, peer string, openedAt time.Time, err error, more ...zap.Field) {
	reason := netconn.ReasonOf(err)
	l.counts.Add(side, reason)
	fields := []zap.Field{
		zap.String("side", string(side)), zap.String("peer", peer), zap.String("reason", string(reason)),
		zap.Duration("lasted", time.Since(openedAt)),
	}
	if slices.Contains(reasonsWithError, reason) {
		fields = append(fields, zap.Error(err))
	}
	l.log.Info("connection ended", append(fields, more...)...)
}
