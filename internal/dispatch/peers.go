package dispatch

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"sloetrestle/brain"
	"sloetrestle/internal/budget"
	"sloetrestle/internal/news"
	"sloetrestle/internal/system"
)

// The first byte of a message tells its form.
const (
	peerVersion = 1 // news
	peerBudget  = 2 // a CBOR map: an ask for a lease, or the answer
)

// budgetWord is a message about a budget: one of its parts is set.
type budgetWord struct {
	Ask  *budget.LeaseRequest `cbor:"1,keyasint,omitempty"`
	Lend *budget.LeaseReply   `cbor:"2,keyasint,omitempty"`
}

// newsBytes is the length of a message: version, number of the sender, the news.
const newsBytes = 1 + 2 + 8

// Peers sends news to peers and takes theirs, over UDP. Messages may be lost; what is no message is
// counted and dropped.
type Peers struct {
	Number    int
	Addresses []*net.UDPAddr
	Conn      *net.UDPConn
	Plain     bool // a message is the news alone: the address that it comes from tells who sent it
	Dropped   atomic.Int64
	OnBudget  func(from int, w budgetWord) // called in the loop; nil: such messages are dropped
}

// TellBudget sends a word about a budget.
func (p *Peers) SendBudget(peer int, w budgetWord) {
	if peer < 0 || peer >= len(p.Addresses) || peer == p.Number {
		return
	}
	raw, err := cbor.Marshal(w)
	if err != nil {
		panic(err) // plain fields
	}
	p.Conn.WriteToUDP(append(binary.BigEndian.AppendUint16([]byte{peerBudget}, uint16(p.Number)), raw...), p.Addresses[peer])
}

// readBudget returns the word in a message.
func (p *Peers) readBudget(raw []byte) (from int, w budgetWord, err error) {
	if len(raw) < 4 {
		return 0, w, fmt.Errorf("%d bytes are no message", len(raw))
	}
	if from = int(binary.BigEndian.Uint16(raw[1:])); from >= len(p.Addresses) || from == p.Number {
		return 0, w, fmt.Errorf("there is no sibling %d", from)
	}
	if err := cbor.Unmarshal(raw[3:], &w); err != nil {
		return 0, w, err
	}
	if (w.Ask == nil) == (w.Lend == nil) {
		return 0, w, errors.New("neither an ask nor an answer")
	}
	return from, w, nil
}

// ListenPeers opens the socket for a dispatcher of the given number.
func ListenPeers(own int, listen string, others []string, open func(address string) (*net.UDPConn, error)) (*Peers, error) {
	p := &Peers{Number: own}
	for i, other := range others {
		at, err := net.ResolveUDPAddr("udp", other)
		if err != nil {
			return nil, fmt.Errorf("peers.%d: %w", i, err)
		}
		p.Addresses = append(p.Addresses, at)
	}
	var err error
	if p.Conn, err = system.OpenWithRetry(func() (*net.UDPConn, error) { return open(listen) }); err != nil {
		return nil, fmt.Errorf("news: %w", err)
	}
	return p, nil
}

// Tell sends news; a message that can't be sent is as good as lost.
func (p *Peers) SendUpdate(peer int, n brain.PeerUpdate) {
	if peer < 0 || peer >= len(p.Addresses) || peer == p.Number {
		return
	}
	raw := news.Encode(n)
	if !p.Plain {
		raw = append(binary.BigEndian.AppendUint16([]byte{peerVersion}, uint16(p.Number)), raw...)
	}
	p.Conn.WriteToUDP(raw, p.Addresses[peer])
}

// check returns the news in a message.
func (p *Peers) check(raw []byte) ([]byte, error) {
	if len(raw) != newsBytes || raw[0] != peerVersion {
		return nil, fmt.Errorf("%d bytes are no message", len(raw))
	}
	if from := int(binary.BigEndian.Uint16(raw[1:])); from >= len(p.Addresses) || from == p.Number {
		return nil, fmt.Errorf("there is no sibling %d", from)
	}
	return raw[3:], nil
}

// sibling tells whether a plain message comes from one.
func (p *Peers) sibling(from *net.UDPAddr) error {
	for i, to := range p.Addresses {
		if i != p.Number && to.Port == from.Port && to.IP.Equal(from.IP) {
			return nil
		}
	}
	return fmt.Errorf("%s is no sibling", from)
}

// Listen takes messages until the context ends.
func (p *Peers) Listen(ctx context.Context, l *Loop) error {
	stop := context.AfterFunc(ctx, func() { p.Conn.Close() })
	defer stop()
	buf := make([]byte, 2048)
	var retry system.Backoff
	for {
		n, sender, err := p.Conn.ReadFromUDP(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			retry.Wait() // such as a port that nobody listens at, or no memory for a moment
			continue
		}
		retry.Reset()
		if n > 0 && buf[0] == peerBudget && !p.Plain {
			from, w, err := p.readBudget(buf[:n])
			if err != nil || p.OnBudget == nil {
				p.Dropped.Add(1)
				continue
			}
			l.Post(func() { p.OnBudget(from, w) })
			continue
		}
		raw := buf[:n]
		if p.Plain {
			err = p.sibling(sender)
		} else {
			raw, err = p.check(raw)
		}
		if err != nil {
			p.Dropped.Add(1)
			continue
		}
		raw = append([]byte(nil), raw...)
		l.Post(func() {
			if l.ReceivePeerUpdate(raw) != nil {
				p.Dropped.Add(1)
			}
		})
	}
}
