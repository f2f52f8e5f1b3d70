package netconn

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// lingerDuration is how long the other end of a connection is given to read its last answer before the close.
const lingerDuration = 200 * time.Millisecond

// Linger ends this direction of a connection and waits, for a while, until the peer has ended the other one.
// Nothing is read: a request that crosses the end must stay unread, so that its client learns that nobody took it.
// A close over unread bytes resets the connection, which could destroy the last answer on its way, so that has to
// arrive first.
func Linger(socket net.Conn) {
	tcp, ok := socket.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	end := time.Now().Add(lingerDuration)
	if tcp.SetReadDeadline(end) != nil {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	peer := peerOpen
	_ = raw.Read(func(fd uintptr) (done bool) { // however it ends, the connection is closed
		peer = peekPeer(int(fd))
		return peer != peerOpen
	})
	if peer == peerUnread {
		time.Sleep(time.Until(end))
	}
}

// peerState is what the other end of a connection has done.
type peerState int

const (
	peerOpen   peerState = iota // nothing
	peerEnded                   // it has ended its direction, or reset the connection
	peerUnread                  // it has sent bytes, which hide whether it has ended
)

// peekPeer looks at what has come on a socket that doesn't block, without taking it.
func peekPeer(fd int) peerState {
	var first [1]byte
	n, _, err := syscall.Recvfrom(fd, first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return peerOpen
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return peerEnded
	case err != nil: // a system that can't peek: the whole time is waited
		return peerUnread
	case n == 0:
		return peerEnded
	}
	return peerUnread
}
