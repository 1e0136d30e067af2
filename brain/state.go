package brain

import "time"

// Dispatcher is the scheduler of one dispatcher. It is not safe for concurrent use.
type Dispatcher struct {
	facts      Facts
	parameters parameters
	runtime    Runtime
	rng        *PCG
	classes    []*Class
	tenants    []*Tenant
	listeners  int // how many peers get an update on each attempt

	fleet
	estimates
	admission
}

// fleet is the known backends with the indexes that placement uses.
type fleet struct {
	own        uint64                // random per dispatcher, so that each has its own order of backends
	backends   []*Backend            // in that order; with a common one, ties would send all dispatchers to the same backend
	byRole     [3][]listedHost       // by role, unordered
	racks      map[int][]*Backend    // backends that decode, by rack
	keepers    map[uint64][]*Backend // backends that have cached a prefix or session; only in a large fleet
	answering  float64               // number of ready backends that decode
	lingering  bool                  // some removed backends still have attempts in flight
	ordered    bool                  // backends of a large fleet are sorted
	compared   time.Duration         // when capacities were last compared; 0: must be compared
	chosenFrom candidateSet
	firstRanks []ranked
}

// estimates are load and latency as seen by own attempts and peer updates.
type estimates struct {
	unread, asked Ring        // tokens to prefill, and of how many requests
	begins        Tally       // prefix table: requests by prefix key
	average       float64     // tokens to prefill per request, as of the last refresh; 0: unknown
	firstToken    Mean        // seconds
	typical       [3]Mean     // per token to prefill, by role of the backend
	work          carriedWork // completed work as last summed up
	carried       [3]float64  // work per unit that warm backends of each role last completed
	streams       float64     // own streams in flight
	atReaders     float64     // own KV cache tokens at prefill-only backends
}

// admission is the queue and the concurrency window.
type admission struct {
	window      float64       // limit on own requests without a first token
	outstanding int           // requests that count against the window
	jam         time.Duration // when the last congestion was detected: a request sent after the one before it was late
	least       float64       // how far requests sent before congestedAt may narrow the window
	adjusted    bool          // some request has moved the window
	credit      float64       // requests that the fractional part of the window allows
	credited    time.Duration // when sendCredit was last brought up to date
	queue       []*Request
	awaiting    []*Request // sent without a first token, oldest first
	sweeping    bool       // a queue sweep is scheduled
}
