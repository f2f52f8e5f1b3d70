package frontend

import (
	"net"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// sinceReceived returns how long ago the kernel received the last bytes of a connection: a client's timeout runs from
// when it sent them, not from when a busy broker reads them. Where the system refuses TCP_INFO (a filter of system
// calls may answer ENOSYS) it returns 0, which is logged once.
func (f *Frontend) sinceReceived(socket net.Conn) time.Duration {
	tcp, ok := socket.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	var since time.Duration
	var refused error
	if err := raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, refused = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); refused == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	}); err != nil {
		return 0
	}
	if refused != nil && f.tcpInfoRefused.CompareAndSwap(false, true) {
		f.cfg.Log.Warn("TCP_INFO refused: a client's timeout runs from when its bytes are read", zap.Error(refused))
	}
	return since
}

// sendTime is when a client sent a message.
type sendTime struct {
	sentAt time.Duration // when its last byte came, or a later one that was read with it
	// waitingSince is the earliest time at which it may have come, where other bytes follow it in the buffer, so
	// that it can be older than the newest; 0: none do.
	waitingSince time.Duration
}

// immediateRead is the time within which a read returns that finds bytes in the socket.
const immediateRead = time.Millisecond

// recordArrival records when bytes were read: at once, so that they may have arrived since the read before, or after a
// wait for them.
func (c *client) recordArrival(calledAt, returnedAt time.Duration) {
	c.earliestArrival = c.frontend.cfg.EarliestArrival(returnedAt)
	if returnedAt-calledAt < immediateRead {
		c.earliestArrival = min(c.earliestArrival, c.lastReadAt)
	}
	c.lastReadAt = returnedAt
}
