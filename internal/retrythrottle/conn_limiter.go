package retrythrottle

import (
	"net/netip"
	"time"

	"go4.org/netipx"
)

const (
	// Connections from one block of addresses count as one group: the clients of one site, or of one provider.
	blockBits4, blockBits6 = 24, 56
	maxBlocks              = 4096
	blockIdleTimeout       = 30 * time.Second

	// Counting thousands of blocks on each refusal would add 85 us to it.
	countInterval = 100 * time.Millisecond

	// Below this part of the burst, each active block is limited to its own share of the rate.
	pressureFraction = 0.5
	minRefusalWait   = 500 * time.Millisecond // the shortest wait that a refused connection is given
)

// ConnLimiter limits how many client connections are accepted: a rate for all, and when tokens run low a fair share of
// it for each block of addresses. Refusing a connection costs its sender time, and no request's latency target.
type ConnLimiter struct {
	ConnsPerSecond float64
	Burst          float64 // connections
	MaxOpen        int

	tokens       float64
	refilledAt   time.Duration
	started      bool
	open         int
	activeBlocks int // as of countedAt, plus the blocks added since
	countedAt    time.Duration
	evictedAt    time.Duration
	blocks       map[netip.Prefix]*blockState
	Refused      int64 // connections refused
	Accepted     int64 // connections accepted
}

type blockState struct {
	tokens   float64
	lastSeen time.Duration
	open     int
}

// AddressBlock returns the block of addresses that an address is counted with. Unix sockets of this machine are one
// block, the zero prefix.
func AddressBlock(from netip.Addr) netip.Prefix {
	if !from.IsValid() {
		return netip.Prefix{}
	}
	from = from.Unmap()
	bits := blockBits6
	if from.Is4() {
		bits = blockBits4
	}
	return netipx.RangeOfPrefix(netip.PrefixFrom(from, bits).Masked()).Prefixes()[0]
}

// Admit reports whether a connection is accepted, and if not, after what time the client may connect again.
func (l *ConnLimiter) Admit(now time.Duration, from netip.Addr) (ok bool, after time.Duration) {
	if l.blocks == nil {
		l.blocks = map[netip.Prefix]*blockState{}
	}
	if !l.started {
		l.tokens, l.started = l.Burst, true
	}
	l.tokens = min(l.Burst, l.tokens+l.ConnsPerSecond*(now-l.refilledAt).Seconds())
	l.refilledAt = now
	prefix := AddressBlock(from)
	block := l.blocks[prefix]
	if block == nil {
		if len(l.blocks) >= maxBlocks && now-l.evictedAt >= countInterval {
			l.evictedAt = now
			l.evictIdle(now)
		}
		if len(l.blocks) >= maxBlocks {
			prefix = netip.Prefix{} // blocks beyond the maximum share one entry
			block = l.blocks[prefix]
		}
		if block == nil {
			block = &blockState{tokens: l.Burst / 8, lastSeen: now}
			l.blocks[prefix] = block
			l.activeBlocks++
		}
	}
	if now-l.countedAt >= countInterval {
		l.activeBlocks, l.countedAt = l.countActive(now), now
	}
	active := max(l.activeBlocks, 1)
	share := l.ConnsPerSecond / float64(active)
	block.tokens = min(max(l.Burst/float64(2*active), 1), block.tokens+share*(now-block.lastSeen).Seconds())
	block.lastSeen = now
	switch {
	case l.open >= l.MaxOpen, l.tokens < 1, l.tokens < pressureFraction*l.Burst && block.tokens < 1:
		l.Refused++
		return false, minRefusalWait +
			time.Duration((1-min(l.tokens, 1))/max(l.ConnsPerSecond, 0.001)*float64(time.Second))
	}
	l.tokens--
	block.tokens = max(block.tokens-1, 0)
	block.open++
	l.open++
	l.Accepted++
	return true, 0
}

// Closed records that an accepted connection has ended.
func (l *ConnLimiter) Closed(from netip.Addr) {
	l.open--
	block := l.blocks[AddressBlock(from)]
	if block == nil {
		block = l.blocks[netip.Prefix{}]
	}
	if block != nil && block.open > 0 {
		block.open--
	}
}

// countActive returns the number of blocks that opened connections within the last two seconds.
func (l *ConnLimiter) countActive(now time.Duration) int {
	n := 0
	for _, block := range l.blocks {
		if now-block.lastSeen < 2*time.Second {
			n++
		}
	}
	return n
}

// evictIdle removes blocks without open connections that were idle for blockIdleTimeout.
func (l *ConnLimiter) evictIdle(now time.Duration) {
	for prefix, block := range l.blocks {
		if block.open == 0 && now-block.lastSeen > blockIdleTimeout {
			delete(l.blocks, prefix)
		}
	}
}
