package brain

import "time"

// Dispatcher is one instance of the module.
type Dispatcher struct {
	settings   Settings
	parameters parameters
	runtime    Runtime
	rng        *PCG
	classes    []*Class
	tenants    []*Tenant
	peerFanout int // how many others hear of each attempt, by what that costs

	fleet
	estimates
	admission
}

// fleet is which backends there are, and how a choice finds those that it looks at.
type fleet struct {
	orderSeed            uint64                // drawn at the start: orders the backends differently in each dispatcher
	backends             []*Backend            // in that order, by which ties go: in one order all would pick the same
	byRole               [3][]roleMember       // the same by role
	decodeByRack         map[int][]*Backend    // those that answer, by rack
	prefixHolders        map[uint64][]*Backend // of beginnings and sessions, in a large fleet
	decodeCount          float64               // how many backends may have streams
	removedInUse         bool                  // some backends are gone and have something out
	sorted               bool                  // the backends of a large fleet are in order
	capacitiesComparedAt time.Duration         // when sizes were compared last
	lastCandidates       candidateSet
	rankBuffer           []rankedBackend
}

// estimates are what own attempts, and what peers tell of theirs, say of load and time.
type estimates struct {
	prefillTokens, prefillRequests RollingSum     // tokens left to read, and of how many requests
	prefixTable                    KeyedSums      // the same by shared beginning
	meanPrefillTokens              float64        // of tokens left to read, as last refreshed; 0 in a fresh router
	timeToFirstToken               RunningMean    // seconds from going out to a first token, lately
	secondsPerToken                [3]RunningMean // seconds for a token left to read, at backends of each role
	completedWork                  roleWork       // what backends did in a window of rule 4, as last summed up
	warmWork                       [3]float64     // what warm backends of each role did then, as last seen
	streams                        float64        // own streams
	prefillOnlyTokens              float64        // own tokens at backends that only read
}

// admission is the queue and the concurrency window.
type admission struct {
	window             float64       // how many own requests may be out without a first token
	outstanding        int           // how many are, or are taken to be
	congestedAt        time.Duration // when a request that was let out after the last such time came late
	windowFloor        float64       // to which what was out by then may narrow the window
	windowAdjusted     bool          // a request has told of the window
	sendCredit         float64       // for requests beyond the window's whole part
	creditUpdatedAt    time.Duration // when it was last brought up to date
	queue              []*Request
	awaitingFirstToken []*Request // out without a first token, longest first
	sweepScheduled     bool
}
