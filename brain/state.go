package brain

import "time"

// Dispatcher is one instance of the module.
type Dispatcher struct {
	facts              Facts
	parameters         parameters
	runtime            Runtime
	rng                *PCG
	classes            []*Class
	tenants            []*Tenant
	own                uint64          // drawn at the start: orders the backends differently in each dispatcher
	backends           []*Backend      // in that order, by which ties go: in one order all would pick the same
	unread, asked      Ring            // tokens left to read, and of how many requests
	begins             Tally           // the same by shared beginning
	average            float64         // of tokens left to read, as last refreshed; 0 in a fresh router
	firstToken         Mean            // seconds from going out to a first token, lately
	typical            [3]Mean         // seconds for a token left to read, at backends of each role
	work               carriedWork     // what backends did in a window of rule 4, as last summed up
	byRole             [3][]listedHost // the backends by role, and those that answer by rack
	racks              map[int][]*Backend
	keepers            map[uint64][]*Backend // of beginnings and sessions, in a large fleet
	lingering          bool                  // some backends are gone and have something out
	ordered            bool                  // the backends of a large fleet are in order
	compared           time.Duration         // when sizes were compared last
	atReaders          float64               // own tokens at backends that only read
	chosenFrom         candidateSet
	firstRanks         []ranked
	carried            [3]float64    // what warm backends of each role did in a window of rule 4, as last seen
	streams, answering float64       // own streams, and how many backends may have them
	window             float64       // how many own requests may be out without a first token
	outstanding        int           // how many are, or are taken to be
	jam                time.Duration // when a request that was let out after the last such time came late
	least              float64       // to which what was out by then may narrow the window
	adjusted           bool          // a request has told of the window
	credit             float64       // for requests beyond the window's whole part
	credited           time.Duration // when it was last brought up to date
	listeners          int           // how many others hear of each attempt, by what that costs
	queue              []*Request
	awaiting           []*Request // out without a first token, longest first
	sweeping           bool
}
