package netconn

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// lingerDuration is the time that the peer has to read the last reply before the close.
const lingerDuration = 200 * time.Millisecond

// Linger shuts down the write side of a connection and waits until the peer has shut down its write side, for at most
// lingerDuration. It reads nothing: a request that races with the connection's close must stay unread, so that its
// client is notified by the reset that it was not accepted. A close with unread bytes resets the connection, which
// could destroy the last reply on its way, so the reply must arrive first.
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
	_ = raw.Read(func(fd uintptr) (done bool) { // on an error the connection is closed as well
		peer = peekPeer(int(fd))
		return peer != peerOpen
	})
	if peer == peerUnread {
		time.Sleep(time.Until(end))
	}
}

// peerState is the state of the peer's write side.
type peerState int

const (
	peerOpen   peerState = iota // open, with no unread bytes
	peerEnded                   // shut down or reset
	peerUnread                  // there are unread bytes; whether it is shut down is not visible
)

// peekPeer returns the state of the peer on a non-blocking socket, without consuming bytes.
func peekPeer(fd int) peerState {
	var first [1]byte
	n, _, err := syscall.Recvfrom(fd, first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return peerOpen
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return peerEnded
	case err != nil: // the system does not support peeking: Linger waits for the full duration
		return peerUnread
	case n == 0:
		return peerEnded
	}
	return peerUnread
}
