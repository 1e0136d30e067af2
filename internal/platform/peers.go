package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"sloetrestle/brain"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/news"
)

// datagramMost is what a message may have; news are far shorter.
const datagramMost = 256

// peers sends news to siblings and takes theirs. Who says something is known by the address that it comes from.
type peers struct {
	own       int
	to        []netip.AddrPort
	from      map[netip.AddrPort]bool
	conn      *net.UDPConn
	Strangers atomic.Int64
}

// listenPeers opens the socket; without an address there are no siblings.
func listenPeers(own int, at string, others []string) (*peers, error) {
	p := &peers{own: own, from: map[netip.AddrPort]bool{}}
	if at == "" {
		return p, nil
	}
	for i, other := range others {
		to, err := netip.ParseAddrPort(other)
		if err != nil {
			return nil, fmt.Errorf("peers.%d: %w", i, err)
		}
		p.to = append(p.to, to)
		if i != own {
			p.from[to] = true
		}
	}
	listen, err := net.ResolveUDPAddr("udp", at)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	p.conn, err = net.ListenUDP("udp", listen)
	return p, err
}

func (p *peers) tell(peer int, n brain.News) {
	if p.conn == nil || peer < 0 || peer >= len(p.to) || peer == p.own {
		return
	}
	p.conn.WriteToUDPAddrPort(news.Encode(n), p.to[peer])
}

func (p *peers) listen(ctx context.Context, l *dispatch.Loop) error {
	if p.conn == nil {
		return nil
	}
	buf := make([]byte, datagramMost+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue // such as a port that nobody listens at
		}
		if !p.from[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())] {
			p.Strangers.Add(1)
			continue
		}
		raw := append([]byte(nil), buf[:n]...)
		l.Post(func() {
			if l.News(raw) != nil {
				p.Strangers.Add(1)
			}
		})
	}
}

func (p *peers) close() {
	if p.conn != nil {
		p.conn.Close()
	}
}
