package brain

import "time"

// Dispatcher is one instance of the module.
type Dispatcher struct {
	facts      Facts
	parameters parameters
	runtime    Runtime
	rng        *PCG
	classes    []*Class
	tenants    []*Tenant
	listeners  int // how many others hear of each attempt, by what that costs

	fleet
	estimates
	admission
}

// fleet is which backends there are, and how a choice finds those that it looks at.
type fleet struct {
	own        uint64                // drawn at the start: orders the backends differently in each dispatcher
	backends   []*Backend            // in that order, by which ties go: in one order all would pick the same
	byRole     [3][]listedHost       // the same by role
	racks      map[int][]*Backend    // those that answer, by rack
	keepers    map[uint64][]*Backend // of beginnings and sessions, in a large fleet
	answering  float64               // how many backends may have streams
	lingering  bool                  // some backends are gone and have something out
	ordered    bool                  // the backends of a large fleet are in order
	compared   time.Duration         // when sizes were compared last
	chosenFrom candidateSet
	firstRanks []ranked
}

// estimates are what own attempts, and what peers tell of theirs, say of load and time.
type estimates struct {
	unread, asked Ring        // tokens left to read, and of how many requests
	begins        Tally       // the same by shared beginning
	average       float64     // of tokens left to read, as last refreshed; 0 in a fresh router
	firstToken    Mean        // seconds from going out to a first token, lately
	typical       [3]Mean     // seconds for a token left to read, at backends of each role
	work          carriedWork // what backends did in a window of rule 4, as last summed up
	carried       [3]float64  // what warm backends of each role did then, as last seen
	streams       float64     // own streams
	atReaders     float64     // own tokens at backends that only read
}

// admission is the queue and the concurrency window.
type admission struct {
	window      float64       // how many own requests may be out without a first token
	outstanding int           // how many are, or are taken to be
	jam         time.Duration // when a request that was let out after the last such time came late
	least       float64       // to which what was out by then may narrow the window
	adjusted    bool          // a request has told of the window
	credit      float64       // for requests beyond the window's whole part
	credited    time.Duration // when it was last brought up to date
	queue       []*Request
	awaiting    []*Request // out without a first token, longest first
	sweeping    bool
}
