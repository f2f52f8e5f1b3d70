package server

import (
	"fmt"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"wheatlane/internal/config"
	"wheatlane/internal/requestids"
)

// requestIDsFile is the name of the file with the request ids of a broker.
const requestIDsFile = "wheatlane-request-ids-%s"

// openRequestIDs returns the table of request ids that the processes of a broker share, or one of this process alone.
func openRequestIDs(cfg config.Config, log *zap.Logger) *requestids.Table {
	if cfg.HandoverPath == "" {
		return requestids.New()
	}
	table, err := requestids.Open(filepath.Join(cfg.HandoverPath, fmt.Sprintf(requestIDsFile, cfg.Name)))
	if err != nil {
		log.Warn("request ids are not shared with another process of the broker", zap.Error(err))
		return requestids.New()
	}
	return table
}

// requestIDs implements broker.RequestIDs. An id is remembered for the longest timeout that a client can have.
type requestIDs struct {
	table   *requestids.Table
	timeout func() time.Duration
	log     *zap.Logger
}

// Claim implements broker.RequestIDs.
func (ids requestIDs) Claim(id string) bool {
	claimed := ids.table.Claim(id, ids.timeout())
	if !claimed {
		ids.log.Info("request id came again", zap.String("request", id))
	}
	return claimed
}

// Release implements broker.RequestIDs.
func (ids requestIDs) Release(id string) { ids.table.Release(id) }
