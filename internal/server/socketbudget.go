package server

import "wheatlane/internal/config"

const (
	engineSocketDivisor   = 4  // connections to engines get the limit of sockets divided by this
	reservedSockets       = 16 // listener, change log, log, configuration file, the runtime's own
	rejectedClientSockets = 4  // of clients that were rejected and have not read that yet
	// Callers of the admin endpoint get up to maxAdminSockets, and at most the limit divided by adminSocketDivisor.
	maxAdminSockets    = 32
	adminSocketDivisor = 16
	// closingSocketDivisor gives the share of the clients' sockets that is for connections about to end.
	closingSocketDivisor = 8
)

// socketBudget divides a broker's limit of sockets.
type socketBudget struct {
	Engines  int // connections to engines
	Clients  int // connections of clients: what the others leave
	Sessions int // of Clients, those that are not about to end
	Rejected int // connections of rejected clients that have not read that yet
	Admin    int // callers of the admin endpoint; 0 without one
}

func newSocketBudget(cfg config.Config) socketBudget {
	b := socketBudget{Engines: cfg.Sockets / engineSocketDivisor, Rejected: rejectedClientSockets}
	if cfg.AdminListen != "" {
		b.Admin = min(maxAdminSockets, cfg.Sockets/adminSocketDivisor)
	}
	b.Clients = cfg.Sockets - b.Engines - reservedSockets - b.Rejected - b.Admin
	b.Sessions = b.Clients - b.Clients/closingSocketDivisor
	return b
}

// MaxAdminConnections returns how many callers the admin endpoint may serve at once: their sockets count against the limit.
func MaxAdminConnections(cfg config.Config) int { return newSocketBudget(cfg).Admin }
