// Package netlisten opens the sockets on which a broker listens. It retries while the system reports a transient
// error, such as an address that is still in use, and lets a second process of the broker listen on the same address.
package netlisten

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"wheatlane/internal/transient"
)

// listenRetryTime bounds the attempts to listen.
const listenRetryTime = 3 * time.Second

// TCP listens for connections on an address.
func TCP(ctx context.Context, config net.ListenConfig, addr string) (listener net.Listener, err error) {
	err = transient.Retry(ctx, listenRetryTime, transient.IsListenError, func() (err error) {
		listener, err = config.Listen(ctx, "tcp", addr)
		return err
	})
	return listener, err
}

// UDP listens for datagrams on an IPv4 address.
func UDP(ctx context.Context, config net.ListenConfig, addr string) (*net.UDPConn, error) {
	var conn net.PacketConn
	err := transient.Retry(ctx, listenRetryTime, transient.IsListenError, func() (err error) {
		conn, err = config.ListenPacket(ctx, "udp4", addr)
		return err
	})
	if err != nil {
		return nil, err
	}
	udp, ok := conn.(*net.UDPConn)
	if !ok {
		return nil, fmt.Errorf("listen for datagrams on %s: got a %T, want a UDP socket", addr, conn)
	}
	return udp, nil
}

// ReusePortConfig returns a configuration of sockets whose address a second process can use as well, so that a new
// version of the broker accepts clients beside the old one. If the system refuses SO_REUSEPORT, the address is not
// shared, and a warning is logged.
func ReusePortConfig(log *zap.Logger) net.ListenConfig {
	return net.ListenConfig{Control: reusePort(log)}
}

// reusePort returns a hook that sets SO_REUSEPORT.
func reusePort(log *zap.Logger) func(network, address string, c syscall.RawConn) error {
	return func(_, address string, c syscall.RawConn) error {
		var refused error
		err := c.Control(func(fd uintptr) {
			refused = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		if err == nil && refused != nil {
			log.Warn("SO_REUSEPORT refused: a second process can't listen beside this one",
				zap.String("listen", address), zap.Error(refused))
		}
		return err
	}
}
