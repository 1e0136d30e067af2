package brain

import (
	"math"
	"time"
)

// parameters are the settings that decisions read, read once: a look-up by name for each backend of thousands would cost more than
// the decision.
type parameters struct {
	dispatchers      float64 // that share the fleet, this one among them
	index            float64 // this one's, from 0
	zone             int
	maxAttempts      int
	canCancel        bool // an attempt may be called off
	retryAfter       bool // a rejection may say when to try again
	maxRetryAfter    time.Duration
	decodeMayPrefill bool          // decode backends may read prompts
	holdLimit        time.Duration // for which a state may wait with no attempt out; 0: for any time

	slowStartMultiple float64       // of its present capacity, that a backend in slow start may be sent in a window
	slowStartShare    float64       // of its capacity, that a backend has right after its start
	slowStartWindow   time.Duration // in which that work counts
	slowStartTime     time.Duration // after which a backend is warm

	crossZonePrice float64
	peerPrice      float64
	overQuotaValue float64 // part of its value that a request beyond its tenant's share has
	valueByWork    bool    // the value of a request is stated for its work
	reportFields   []string
}

// parametersOf reads the parameters from complete facts.
func parametersOf(f Settings) parameters {
	return parameters{
		dispatchers:      f.Number("siblings", 1),
		index:            f.Number("slotNo", 0),
		zone:             int(f.Number("zone", 0)),
		maxAttempts:      int(f.Number("policyLimits.maxAttempts", 1)),
		canCancel:        f.Bool("policyLimits.cancelling"),
		retryAfter:       f.Bool("policyLimits.retryAfter"),
		maxRetryAfter:    f.Duration("policyLimits.maxRetryAfterUs"),
		decodeMayPrefill: f.Bool("familyInfo.localRead"),
		holdLimit:        f.Duration("familyInfo.pinLimitUs"),

		slowStartMultiple: f.Number("rules.tipMultiple", 1),
		slowStartShare:    f.Number("rules.coldFrom", 0),
		slowStartWindow:   f.Duration("rules.tipAfterUs"),
		slowStartTime:     f.Duration("rules.rampTimeUs"),

		crossZonePrice: f.Number("prices.crossZone", 0),
		peerPrice:      f.Number("prices.peer", 0),
		overQuotaValue: f.Number("overShareWorth", 1),
		valueByWork:    f.Text("valueBy") == "work",
		reportFields:   f.reportFields(),
	}
}

// share is this dispatcher's part of something that all have together.
func (p *parameters) ownShare(whole float64) float64 { return whole / math.Max(p.dispatchers, 1) }
