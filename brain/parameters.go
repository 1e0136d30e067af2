package brain

import (
	"math"
	"time"
)

// parameters are the settings that decisions read, read once: a look-up by name for each backend of thousands would cost more than
// the decision.
type parameters struct {
	dispatchers  float64 // that share the fleet, this one among them
	number       float64 // this one's, from 0
	zone         int
	maxAttempts  int
	cancelling   bool // an attempt may be called off
	retryAfter   bool // a rejection may say when to try again
	retryMost    time.Duration
	readsInPlace bool          // decode backends may read prompts
	holdLimit    time.Duration // for which a state may wait with no attempt out; 0: for any time

	slowStartMultiple float64       // of its present capacity, that a backend in slow start may be sent in a window
	slowStartShare    float64       // of its capacity, that a backend has right after its start
	slowStartWindow   time.Duration // in which that work counts
	slowStartTime     time.Duration // after which a backend is warm

	crossZonePrice float64
	peerPrice      float64
	surplusValue   float64 // part of its value that a request beyond its tenant's share has
	valueByWork    bool    // the value of a request is stated for its work
	reportFields   []string
}

// parametersOf reads the parameters from complete facts.
func parametersOf(f Facts) parameters {
	return parameters{
		dispatchers:  f.Num("siblings", 1),
		number:       f.Num("slotNo", 0),
		zone:         int(f.Num("zone", 0)),
		maxAttempts:  int(f.Num("policyLimits.maxAttempts", 1)),
		cancelling:   f.Yes("policyLimits.cancelling"),
		retryAfter:   f.Yes("policyLimits.retryAfter"),
		retryMost:    f.Span("policyLimits.maxRetryAfterUs"),
		readsInPlace: f.Yes("familyInfo.localRead"),
		holdLimit:    f.Span("familyInfo.pinLimitUs"),

		slowStartMultiple: f.Num("rules.tipMultiple", 1),
		slowStartShare:    f.Num("rules.coldFrom", 0),
		slowStartWindow:   f.Span("rules.tipAfterUs"),
		slowStartTime:     f.Span("rules.rampTimeUs"),

		crossZonePrice: f.Num("prices.crossZone", 0),
		peerPrice:      f.Num("prices.peer", 0),
		surplusValue:   f.Num("overShareWorth", 1),
		valueByWork:    f.Text("valueBy") == "work",
		reportFields:   f.reportFields(),
	}
}

// share is this dispatcher's part of something that all have together.
func (p *parameters) share(whole float64) float64 { return whole / math.Max(p.dispatchers, 1) }
