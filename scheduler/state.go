package scheduler

import "time"

// Dispatcher is the scheduler of one dispatcher. It is not safe for concurrent use.
type Dispatcher struct {
	settings   Settings
	parameters parameters
	runtime    Runtime
	rng        *PCG
	classes    []*Class
	tenants    []*Tenant
	peerFanout int // how many peers get an update on each attempt

	fleet
	estimates
	admission
}

// fleet is the known backends with the indexes that placement uses.
type fleet struct {
	orderSeed            uint64                // random per dispatcher, so that each has its own order of backends
	backends             []*Backend            // in that order; with a common one, ties would go to one backend
	byRole               [3][]roleMember       // by role, unordered
	decodeByRack         map[int][]*Backend    // backends that decode, by rack
	prefixHolders        map[uint64][]*Backend // backends that have cached a prefix or session; only in a large fleet
	decodeCount          float64               // number of ready backends that decode
	removedInUse         bool                  // some removed backends still have attempts in flight
	sorted               bool                  // backends of a large fleet are sorted
	capacitiesComparedAt time.Duration         // when capacities were last compared; 0: must be compared
	lastCandidates       candidateSet
	rankBuffer           []rankedBackend
}

// estimates are load and latency as seen by own attempts and peer updates.
type estimates struct {
	prefillTokens, prefillRequests RollingSum     // tokens to prefill, and of how many requests
	prefixTable                    KeyedSums      // number of requests by prefix key
	meanPrefillTokens              float64        // tokens to prefill per request, as of the last refresh; 0: unknown
	timeToFirstToken               RunningMean    // seconds
	secondsPerToken                [3]RunningMean // per token to prefill, by role of the backend
	completedWork                  roleWork       // completed work as last summed up
	warmWork                       [3]float64     // work per unit that warm backends of each role last completed
	streams                        float64        // own streams in flight
	prefillOnlyTokens              float64        // own KV cache tokens at prefill-only backends
}

// admission is the queue and the concurrency window.
type admission struct {
	window             float64       // limit on own requests without a first token
	outstanding        int           // requests that count against the window
	congestedAt        time.Duration // last congestion: when a request sent after the one before was late
	windowFloor        float64       // how far requests sent before congestedAt may narrow the window
	windowAdjusted     bool          // some request has moved the window
	sendCredit         float64       // requests that the fractional part of the window allows
	creditUpdatedAt    time.Duration // when sendCredit was last brought up to date
	queue              []*Request
	awaitingFirstToken []*Request // sent without a first token, oldest first
	sweepScheduled     bool       // a queue sweep is scheduled
}
