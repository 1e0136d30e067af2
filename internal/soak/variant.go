package soak

import (
	"math/rand/v2"
	"time"
)

// variant is the deployment that a run plays: what the settings say, and whether idle clients crowd the dispatchers.
type variant struct {
	classes      []class
	cacheTimeout time.Duration // for which a state may wait with no attempt out
	idleClients  int           // idle clients for each dispatcher
}

// crowdSize is how many idle clients a crowd has: more than a dispatcher has descriptors for.
const idleClientCount = 300

// drawVariant draws the deployment of a run from its seed. The classes are those of hosts.Settings; their deadlines, and how long a
// state may wait, decide how soon after SIGTERM the SIGKILL comes, and what a send that does not arrive has to be followed by.
func drawVariant(seed uint64) variant {
	rng := rand.New(rand.NewPCG(seed, 0x7e95))
	deadlines := [][2]time.Duration{
		{3 * time.Second, 2 * time.Second}, {1200 * time.Millisecond, time.Second}, {2 * time.Second, 1500 * time.Millisecond},
		{6 * time.Second, 4 * time.Second},
	}[rng.IntN(4)]
	v := variant{cacheTimeout: []time.Duration{500 * time.Millisecond, 300 * time.Millisecond}[rng.IntN(2)]}
	v.classes = []class{{name: "trail-info", deadline: deadlines[0]}, {name: "hut-booking", nonIdempotent: true, deadline: deadlines[1]}}
	if rng.IntN(3) == 0 {
		v.classes[0].dedupWindow = 800 * time.Millisecond
	}
	if rng.IntN(4) == 0 {
		v.idleClients = idleClientCount
	}
	return v
}

// effect is how the settings state what running a request of the class again does.
func (c class) effect() string {
	switch {
	case c.nonIdempotent:
		return "once"
	case c.dedupWindow > 0:
		return "by_key"
	}
	return "repeatable"
}

// killAfter is how soon after SIGTERM the SIGKILL may come: the longest deadline, counted as 3 s at most, and 0.7 s.
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
