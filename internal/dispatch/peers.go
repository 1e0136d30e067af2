package dispatch

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"sloetrestle/internal/budget"
	"sloetrestle/internal/peerproto"
	"sloetrestle/internal/system"
	"sloetrestle/scheduler"
)

// The first byte of a message between peers is its type; the number of the sender follows in two bytes.
const (
	updateType = 1 // a peer update in eight bytes
	budgetType = 2 // a CBOR map: a request for a lease, or the answer
)

// budgetMessage is a message about a budget. Exactly one field is set.
type budgetMessage struct {
	Request         *budget.LeaseRequest    `cbor:"1,keyasint,omitempty"`
	Lease           *budget.LeaseReply      `cbor:"2,keyasint,omitempty"`
	HandoverRequest *budget.HandoverRequest `cbor:"3,keyasint,omitempty"`
	HandoverReply   *budget.HandoverReply   `cbor:"4,keyasint,omitempty"`
}

// fields returns how many fields are set.
func (m budgetMessage) fields() (n int) {
	for _, set := range []bool{m.Request != nil, m.Lease != nil, m.HandoverRequest != nil, m.HandoverReply != nil} {
		if set {
			n++
		}
	}
	return n
}

// updateBytes is the length of a message with a peer update: type, sender, update.
const updateBytes = 1 + 2 + 8

// Peers exchanges peer updates and budget messages with the peers over UDP. Messages may be lost; those that are
// invalid are counted and dropped.
type Peers struct {
	Number    int            // this dispatcher's number, its index in Addresses
	Addresses []*net.UDPAddr // of all dispatchers, by number
	Conn      *net.UDPConn
	Plain     bool // a message is the update alone, and its source address identifies the sender
	Dropped   atomic.Int64
	OnBudget  func(from int, message budgetMessage) // called in the loop; nil: budget messages are dropped
}

// SendBudget sends a message about a budget.
func (p *Peers) SendBudget(peer int, message budgetMessage) {
	if peer < 0 || peer >= len(p.Addresses) || peer == p.Number {
		return
	}
	raw, err := cbor.Marshal(message)
	if err != nil {
		panic(err) // the fields are strings and numbers
	}
	p.Conn.WriteToUDP(append(binary.BigEndian.AppendUint16([]byte{budgetType}, uint16(p.Number)), raw...),
		p.Addresses[peer])
}

// decodeBudget decodes a message about a budget.
func (p *Peers) decodeBudget(raw []byte) (from int, message budgetMessage, err error) {
	if len(raw) < 4 {
		return 0, message, fmt.Errorf("budget message has %d bytes, less than 4", len(raw))
	}
	if from = int(binary.BigEndian.Uint16(raw[1:])); from >= len(p.Addresses) || from == p.Number {
		return 0, message, fmt.Errorf("budget message from unknown peer %d", from)
	}
	if err := cbor.Unmarshal(raw[3:], &message); err != nil {
		return 0, message, err
	}
	if message.fields() != 1 {
		return 0, message, errors.New("budget message must be one request or one reply")
	}
	return from, message, nil
}

// ListenPeers opens the socket of the dispatcher with the given number. others are the addresses of all dispatchers.
func ListenPeers(
	own int, listen string, others []string, open func(address string) (*net.UDPConn, error),
) (*Peers, error) {
	peers := &Peers{Number: own}
	for i, other := range others {
		addr, err := net.ResolveUDPAddr("udp", other)
		if err != nil {
			return nil, fmt.Errorf("peers.%d: %w", i, err)
		}
		peers.Addresses = append(peers.Addresses, addr)
	}
	var err error
	if peers.Conn, err = system.OpenWithRetry(func() (*net.UDPConn, error) { return open(listen) }); err != nil {
		return nil, fmt.Errorf("news: %w", err)
	}
	return peers, nil
}

// SendUpdate sends an update to a peer. A message that cannot be sent counts as lost.
func (p *Peers) SendUpdate(peer int, update scheduler.PeerUpdate) {
	if peer < 0 || peer >= len(p.Addresses) || peer == p.Number {
		return
	}
	raw := peerproto.Encode(update)
	if !p.Plain {
		raw = append(binary.BigEndian.AppendUint16([]byte{updateType}, uint16(p.Number)), raw...)
	}
	p.Conn.WriteToUDP(raw, p.Addresses[peer])
}

// unwrapUpdate returns the encoded update of a message that is not plain.
func (p *Peers) unwrapUpdate(raw []byte) ([]byte, error) {
	if len(raw) != updateBytes || raw[0] != updateType {
		return nil, fmt.Errorf("peer message of %d bytes is not a peer update", len(raw))
	}
	if from := int(binary.BigEndian.Uint16(raw[1:])); from >= len(p.Addresses) || from == p.Number {
		return nil, fmt.Errorf("peer update from unknown peer %d", from)
	}
	return raw[3:], nil
}

// checkSender returns an error if the sender of a plain message is not a peer.
func (p *Peers) checkSender(sender *net.UDPAddr) error {
	for i, peer := range p.Addresses {
		if i != p.Number && peer.Port == sender.Port && peer.IP.Equal(sender.IP) {
			return nil
		}
	}
	return fmt.Errorf("peer update from unknown address %s", sender)
}

// Listen receives messages until the context ends.
func (p *Peers) Listen(ctx context.Context, loop *Loop) error {
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
			retry.Wait() // such as a peer's closed port, reported by ICMP, or a short lack of memory
			continue
		}
		retry.Reset()
		if n > 0 && buf[0] == budgetType && !p.Plain {
			from, message, err := p.decodeBudget(buf[:n])
			if err != nil || p.OnBudget == nil {
				p.Dropped.Add(1)
				continue
			}
			loop.Post(func() { p.OnBudget(from, message) })
			continue
		}
		raw := buf[:n]
		if p.Plain {
			err = p.checkSender(sender)
		} else {
			raw, err = p.unwrapUpdate(raw)
		}
		if err != nil {
			p.Dropped.Add(1)
			continue
		}
		raw = append([]byte(nil), raw...)
		loop.Post(func() {
			if loop.ReceivePeerUpdate(raw) != nil {
				p.Dropped.Add(1)
			}
		})
	}
}
