package frontend

import (
	"go.uber.org/zap"

	"wheatlane/internal/broker"
	"wheatlane/internal/memorybudget"
	"wheatlane/internal/server/netconn"
)

// evictUnreadReplies ends the connections of clients that do not read their replies, those with the most memory first,
// while the replies of all clients together exceed their share of the memory.
func (f *Frontend) evictUnreadReplies() {
	f.evictUnread(int(f.unsentMemory.Load()) - f.cfg.OutputBytes)
}

// evictUnread ends the connections of clients with excess bytes of replies that they do not read, those with the most
// memory first.
func (f *Frontend) evictUnread(excess int) {
	if excess <= 0 {
		return
	}
	blocked, total := f.blockedClients()
	for _, c := range memorybudget.Evict(max(0, total-excess), blocked) {
		f.cfg.Log.Info("replies are not read, others need their memory", zap.Uint32("session", uint32(c.session)),
			zap.Int("unsent", c.conn.UnsentMemory()))
		c.conn.Abort(&netconn.EndError{Reason: netconn.BufferFull})
		f.events.Enqueue(broker.SessionClosed{Session: c.session})
	}
}

// blockedClients returns the clients with replies that the system has not accepted, and the memory of these replies.
func (f *Frontend) blockedClients() (blocked []memorybudget.Usage[*client], total int) {
	for _, c := range f.clients {
		if bytes := c.conn.UnsentMemory(); bytes > 0 {
			blocked = append(blocked, memorybudget.Usage[*client]{Holder: c, Bytes: bytes})
			total += bytes
		}
	}
	return blocked, total
}
