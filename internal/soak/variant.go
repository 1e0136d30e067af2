package soak

import (
	"math/rand/v2"
	"time"
)

// variant is the deployment of a run: the drawn settings and the number of idle clients.
type variant struct {
	classes      []class
	cacheTimeout time.Duration // for which a KV cache may be held without an attempt in flight
	idleClients  int           // per dispatcher
}

// idleClientCount is the number of idle clients per dispatcher, more than it has descriptors for.
const idleClientCount = 300

// drawVariant draws the deployment of a run from its seed. The classes are those of the test settings. Their
// deadlines and the time for which a KV cache may be held determine how soon SIGKILL follows SIGTERM, and what must
// follow a send that does not arrive.
func drawVariant(seed uint64) variant {
	rng := rand.New(rand.NewPCG(seed, 0x7e95))
	deadlines := [][2]time.Duration{
		{3 * time.Second, 2 * time.Second},
		{1200 * time.Millisecond, time.Second},
		{2 * time.Second, 1500 * time.Millisecond},
		{6 * time.Second, 4 * time.Second},
	}[rng.IntN(4)]
	v := variant{cacheTimeout: []time.Duration{500 * time.Millisecond, 300 * time.Millisecond}[rng.IntN(2)]}
	v.classes = []class{
		{name: "trail-info", deadline: deadlines[0]},
		{name: "hut-booking", nonIdempotent: true, deadline: deadlines[1]},
	}
	if rng.IntN(3) == 0 {
		v.classes[0].dedupWindow = 800 * time.Millisecond
	}
	if rng.IntN(4) == 0 {
		v.idleClients = idleClientCount
	}
	return v
}

// effect returns the settings' name for what a repeated run of a request of the class does.
func (c class) effect() string {
	switch {
	case c.nonIdempotent:
		return "once"
	case c.dedupWindow > 0:
		return "by_key"
	}
	return "repeatable"
}

// killAfter returns the time from SIGTERM to SIGKILL: the longest deadline, at most maxKillDeadline, plus killSlack.
func (v variant) killAfter() time.Duration {
	longest := time.Duration(0)
	for _, c := range v.classes {
		longest = max(longest, c.deadline)
	}
	return min(longest, maxKillDeadline) + killSlack
}

const (
	maxKillDeadline = 3 * time.Second
	killSlack       = 700 * time.Millisecond
)
