package measure

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

var bareVerb = verb{
	name:    "bare",
	summary: "a plain UDP relay, the baseline of relay; runs until it is stopped",
	usage: `Forwards each datagram to one address without any decision: one system call to
receive and one to send, no batches. Prints "ready listen=IP:PORT".`,
	defineFlags: func(flags *flag.FlagSet) measureFunc {
		target := flags.String("to", "", "IP `address` and UDP port to forward to")
		readers := flags.Int("readers", 1, "goroutines that forward")
		return func(ctx context.Context, p *printer) error {
			return runBare(ctx, p, *target, *readers)
		}
	},
}

// socketBuffer is the requested size of the receive and the send buffer, the same as in
// the entry daemon.
const socketBuffer = 4 << 20 // bytes

func runBare(ctx context.Context, p *printer, address string, readers int) error {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrapf(err, "flag -to: value %q", address)
	}
	in, err := listenLoopback()
	if err != nil {
		return err
	}
	out, err := listenLoopback()
	if err != nil {
		return err
	}
	fmt.Fprintf(p.out, "ready listen=%s\n", in.LocalAddr())
	for range readers {
		go copyDatagrams(in, out, target)
	}
	<-ctx.Done()
	return nil
}

func copyDatagrams(in, out *net.UDPConn, target netip.AddrPort) {
	var buffer [2048]byte
	for {
		n, _, err := in.ReadFromUDPAddrPort(buffer[:])
		if err != nil {
			return
		}
		_, _ = out.WriteToUDPAddrPort(buffer[:n], target)
	}
}

func listenLoopback() (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.WithStack(err)
	}
	_ = c.SetReadBuffer(socketBuffer)
	_ = c.SetWriteBuffer(socketBuffer)
	return c, nil
}
