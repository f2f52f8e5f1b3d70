package frontend

import (
	"net"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// sinceReceived returns the time since the kernel received the last bytes of a connection: a client's timeout starts
// when the client sends its request, not when a busy broker reads it. If the system refuses TCP_INFO, as a system call
// filter may do with ENOSYS, it returns 0 and logs that once.
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

// sendTime holds the times at which a client may have sent a message.
type sendTime struct {
	sentAt time.Duration // arrival of the last byte of the message, or of a later byte read together with it
	// waitingSince is the earliest time at which the message may have arrived, if other bytes follow it in the buffer:
	// it can then be older than the last bytes. It is 0 if no bytes follow.
	waitingSince time.Duration
}

// immediateRead is the maximum duration of a read that finds bytes in the socket buffer.
const immediateRead = time.Millisecond

// recordArrival records the time at which a read returned bytes. If the read returned immediately, the bytes may have
// arrived at any time since the previous read.
func (c *client) recordArrival(calledAt, returnedAt time.Duration) {
	c.earliestArrival = c.frontend.cfg.EarliestArrival(returnedAt)
	if returnedAt-calledAt < immediateRead {
		c.earliestArrival = min(c.earliestArrival, c.lastReadAt)
	}
	c.lastReadAt = returnedAt
}
