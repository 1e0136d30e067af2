package dispatch

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync/atomic"

	"sloetrestle/brain"
	"sloetrestle/internal/news"
)

// peerVersion begins each message, so that a later form is told from this one.
const peerVersion = 1

// newsBytes is the length of a message: version, number of the sender, the news.
const newsBytes = 1 + 2 + 8

// Peers sends news to siblings and takes theirs, over UDP. Messages may be lost; what is no message is
// counted and dropped.
type Peers struct {
	Own     int
	To      []*net.UDPAddr
	Conn    *net.UDPConn
	Dropped atomic.Int64
}

// ListenPeers opens the socket for a dispatcher of the given number.
func ListenPeers(own int, listen string, others []string) (*Peers, error) {
	p := &Peers{Own: own}
	for i, other := range others {
		at, err := net.ResolveUDPAddr("udp", other)
		if err != nil {
			return nil, fmt.Errorf("dispatcher.peers.%d: %w", i, err)
		}
		p.To = append(p.To, at)
	}
	at, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, fmt.Errorf("dispatcher.news: %w", err)
	}
	p.Conn, err = net.ListenUDP("udp", at)
	return p, err
}

// Tell sends news; a message that can't be sent is as good as lost.
func (p *Peers) Tell(peer int, n brain.News) {
	if peer < 0 || peer >= len(p.To) || peer == p.Own {
		return
	}
	raw := binary.BigEndian.AppendUint16([]byte{peerVersion}, uint16(p.Own))
	p.Conn.WriteToUDP(append(raw, news.Encode(n)...), p.To[peer])
}

// check returns the news in a message.
func (p *Peers) check(raw []byte) ([]byte, error) {
	if len(raw) != newsBytes || raw[0] != peerVersion {
		return nil, fmt.Errorf("%d bytes are no message", len(raw))
	}
	if from := int(binary.BigEndian.Uint16(raw[1:])); from >= len(p.To) || from == p.Own {
		return nil, fmt.Errorf("there is no sibling %d", from)
	}
	return raw[3:], nil
}

// Listen takes messages until the context ends.
func (p *Peers) Listen(ctx context.Context, l *Loop) error {
	stop := context.AfterFunc(ctx, func() { p.Conn.Close() })
	defer stop()
	buf := make([]byte, 2048)
	for {
		n, _, err := p.Conn.ReadFromUDP(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue // such as a port that nobody listens at
		}
		raw, err := p.check(buf[:n])
		if err != nil {
			p.Dropped.Add(1)
			continue
		}
		raw = append([]byte(nil), raw...)
		l.Post(func() {
			got, err := news.Decode(raw, l.hosts)
			if err != nil {
				p.Dropped.Add(1)
			} else if got.Host != nil {
				l.Heard(got)
			}
		})
	}
}
