package frontend

import (
	"net"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"wheatlane/internal/server/clock"
)

// States of a connection whose peer has closed or reset its side (Linux, enum tcp_state).
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// sinceReceived returns the time since the kernel received the last bytes of a connection: a client's timeout starts
// when the client sends its request, not when a busy broker reads it. It returns 0 if that is not known.
func (f *Frontend) sinceReceived(socket net.Conn) time.Duration {
	info := f.tcpInfo(socket)
	if info == nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// arrivalOf reports whether all bytes of the client up to a position have arrived, read or not, and when its last bytes
// did. It reports false if that is not known. Any goroutine may call it.
func (c *client) arrivalOf(position int64) (at time.Duration, arrived bool) {
	info := c.frontend.tcpInfo(c.conn.Socket())
	if info == nil || info.Bytes_received < uint64(position) {
		return 0, false
	}
	return clock.Now() - time.Duration(info.Last_data_recv)*time.Millisecond, true
}

// hasDeparted reports whether the client has closed or reset its side of the connection, even if bytes that it sent
// before are still unread.
func (f *Frontend) hasDeparted(socket net.Conn) bool {
	info := f.tcpInfo(socket)
	if info == nil {
		return false
	}
	switch info.State {
	case tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
		return true
	}
	return false // also in a state that the system does not tell
}

// unreadBytes returns the number of bytes that have arrived on a connection and were not read; known is false if the
// system does not tell it.
func unreadBytes(socket net.Conn) (bytes int, known bool) {
	tcp, ok := socket.(*net.TCPConn)
	if !ok {
		return 0, false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, false
	}
	var refused error
	if err := raw.Control(func(fd uintptr) { bytes, refused = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }); err != nil {
		return 0, false
	}
	return bytes, refused == nil
}

// tcpInfo returns the system's information on a connection. If the system refuses TCP_INFO, as a system call filter may
// do with ENOSYS, it returns nil and logs that once.
func (f *Frontend) tcpInfo(socket net.Conn) *unix.TCPInfo {
	tcp, ok := socket.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	var info *unix.TCPInfo
	var refused error
	if err := raw.Control(func(fd uintptr) {
		info, refused = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil {
		return nil
	}
	if refused != nil {
		if f.tcpInfoRefused.CompareAndSwap(false, true) {
			f.cfg.Log.Warn("TCP_INFO refused: a client's timeout runs from when its bytes are read", zap.Error(refused))
		}
		return nil
	}
	return info
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
