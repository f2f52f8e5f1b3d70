package collector

import "net"

// Mode is how an emulated collector behaves.
type Mode string

// The modes.
const (
	Serve       Mode = "serve"
	Unreachable Mode = "gone"    // nothing listens, and open connections are reset
	Silent      Mode = "mute"    // connections are accepted and never read
	Slow        Mode = "slow"    // some 2 KB a second are read
	Truncating  Mode = "tear"    // each connection is reset in the middle of a line
	Lossy       Mode = "lossy"   // a third of the datagrams is lost
	Reordering  Mode = "shuffle" // datagrams come out of order
)

// reset closes a connection as a killed process does.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the close is merely an orderly one
	}
	_ = conn.Close() // the peer sees the reset; nothing is left to report here
}
