package server

import (
	"wheatlane/internal/config"
	"wheatlane/internal/memorybudget"
)

const (
	engineSocketDivisor   = 4  // engines get 1/engineSocketDivisor of the socket limit
	reservedSockets       = 16 // listener, change log, log, configuration file, the runtime's own
	rejectedClientSockets = 4  // for rejected clients that have not read their rejection
	// The admin endpoint gets 1/adminSocketDivisor of the socket limit, at most maxAdminSockets.
	maxAdminSockets    = 32
	adminSocketDivisor = 16
	// 1/closingSocketDivisor of the client sockets is reserved for connections that are closing.
	closingSocketDivisor = 8
)

const bytesPerMegabyte = 1 << 20

// MemoryShares returns the division of a broker's memory limit while a number of engines is listed.
func MemoryShares(cfg config.Config, engines int) memorybudget.Shares {
	return memorybudget.Divide(memoryLimit(cfg), engines)
}

// memoryLimit returns the memory limit of a broker in bytes.
func memoryLimit(cfg config.Config) int64 {
	if cfg.MemoryMB == 0 {
		return config.DefaultMemoryMB * bytesPerMegabyte
	}
	return int64(cfg.MemoryMB) * bytesPerMegabyte
}

// socketBudget divides a broker's socket limit. Clients get no more connections than there is memory for.
type socketBudget struct {
	Engines  int // connections to engines
	Clients  int // client connections: the remainder
	Sessions int // client connections that are not closing
	Rejected int // rejected clients that have not read their rejection
	Admin    int // connections to the admin endpoint; 0 without one
}

func newSocketBudget(cfg config.Config) socketBudget {
	b := socketBudget{Engines: cfg.MaxDescriptors / engineSocketDivisor, Rejected: rejectedClientSockets}
	if cfg.AdminListen != "" {
		b.Admin = min(maxAdminSockets, cfg.MaxDescriptors/adminSocketDivisor)
	}
	b.Clients = cfg.MaxDescriptors - b.Engines - reservedSockets - b.Rejected - b.Admin
	b.Sessions = b.Clients - b.Clients/closingSocketDivisor
	shares := MemoryShares(cfg, 0)
	b.Clients, b.Sessions = min(b.Clients, shares.Connections), min(b.Sessions, shares.Sessions)
	return b
}

// MaxAdminConnections returns how many connections the admin endpoint may serve at once. They count against the socket
// limit.
func MaxAdminConnections(cfg config.Config) int { return newSocketBudget(cfg).Admin }
