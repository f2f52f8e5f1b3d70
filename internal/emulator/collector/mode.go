package collector

import "net"

// Mode is the behaviour of an emulated collector.
type Mode string

// The modes of a collector. A carbon server has all but Lossy and Reordering, a collectd has Serve, Unreachable, Lossy
// and Reordering; other modes act like Serve.
const (
	Serve       Mode = "serve"
	Unreachable Mode = "gone"    // does not listen, and resets open connections
	Silent      Mode = "mute"    // accepts connections and never reads them
	Slow        Mode = "slow"    // reads about 2 KB a second
	Truncating  Mode = "tear"    // resets each connection in the middle of a line
	Lossy       Mode = "lossy"   // loses a third of the datagrams
	Reordering  Mode = "shuffle" // delivers datagrams out of order
)

// reset closes a connection with a TCP reset, as a killed process does.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on an error, the close is an orderly one
	}
	_ = conn.Close() // the peer observes the reset; an error here changes nothing
}
