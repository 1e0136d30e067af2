package storm

import (
	"net/netip"
	"time"

	"go4.org/netipx"
)

const (
	// Connections from one block of addresses are taken for one crowd: a hut's tablets, or a provider's customers.
	block4, block6 = 24, 56
	mostBlocks     = 4096
	blockIdle      = 30 * time.Second
	countEvery     = 100 * time.Millisecond // counting thousands of blocks at each refusal would cost 85 us of it

	// Below half of the burst there is pressure, and each block that is active has its own part of the rate.
	pressure = 0.5
	refused  = 500 * time.Millisecond // the least that a refused connection is told to wait
)

// Door decides which connections are taken while many come: a budget for all, and under pressure a fair part of it for
// each block of addresses. What it refuses costs the sender's own time, not a question's.
type ConnLimiter struct {
	ConnsPerSecond float64 // connections a second
	Burst          float64
	MaxOpen        int

	tokens   float64
	at       time.Duration
	begun    bool
	open     int
	lately   int           // blocks that came lately, as last counted
	counted  time.Duration // when that was
	swept    time.Duration
	blocks   map[netip.Prefix]*crowd
	Refused  int64
	Accepted int64
}

type crowd struct {
	tokens float64
	at     time.Duration
	open   int
}

// Block is the crowd that an address counts to. Sockets of this machine are one.
func AddressBlock(from netip.Addr) netip.Prefix {
	if !from.IsValid() {
		return netip.Prefix{}
	}
	from = from.Unmap()
	bits := block6
	if from.Is4() {
		bits = block4
	}
	return netipx.RangeOfPrefix(netip.PrefixFrom(from, bits).Masked()).Prefixes()[0]
}

// Admit tells whether a connection is taken, and if not, when to come back.
func (d *ConnLimiter) Admit(now time.Duration, from netip.Addr) (ok bool, after time.Duration) {
	if d.blocks == nil {
		d.blocks = map[netip.Prefix]*crowd{}
	}
	if !d.begun {
		d.tokens, d.begun = d.Burst, true
	}
	d.tokens = min(d.Burst, d.tokens+d.ConnsPerSecond*(now-d.at).Seconds())
	d.at = now
	block := AddressBlock(from)
	c := d.blocks[block]
	if c == nil {
		if len(d.blocks) >= mostBlocks && now-d.swept >= countEvery {
			d.swept = now
			d.forget(now)
		}
		if len(d.blocks) >= mostBlocks {
			block = netip.Prefix{} // those beyond count share one
			c = d.blocks[block]
		}
		if c == nil {
			c = &crowd{tokens: d.Burst / 8, at: now}
			d.blocks[block] = c
			d.lately++
		}
	}
	if now-d.counted >= countEvery {
		d.lately, d.counted = d.active(now), now
	}
	active := max(d.lately, 1)
	part := d.ConnsPerSecond / float64(active)
	c.tokens = min(max(d.Burst/float64(2*active), 1), c.tokens+part*(now-c.at).Seconds())
	c.at = now
	switch {
	case d.open >= d.MaxOpen, d.tokens < 1, d.tokens < pressure*d.Burst && c.tokens < 1:
		d.Refused++
		return false, refused + time.Duration((1-min(d.tokens, 1))/max(d.ConnsPerSecond, 0.001)*float64(time.Second))
	}
	d.tokens--
	c.tokens = max(c.tokens-1, 0)
	c.open++
	d.open++
	d.Accepted++
	return true, 0
}

// Closed takes word that a connection which was taken has ended.
func (d *ConnLimiter) Closed(from netip.Addr) {
	d.open--
	c := d.blocks[AddressBlock(from)]
	if c == nil {
		c = d.blocks[netip.Prefix{}]
	}
	if c != nil && c.open > 0 {
		c.open--
	}
}

// active counts the blocks that came lately.
func (d *ConnLimiter) active(now time.Duration) int {
	n := 0
	for _, c := range d.blocks {
		if now-c.at < 2*time.Second {
			n++
		}
	}
	return n
}

func (d *ConnLimiter) forget(now time.Duration) {
	for b, c := range d.blocks {
		if c.open == 0 && now-c.at > blockIdle {
			delete(d.blocks, b)
		}
	}
}
