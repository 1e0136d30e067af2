// Package fakes provides fake backends of the three roles, a fake service discovery and clients, on loopback
// sockets and with scripted faults. They are real-time models, not measurements of engines; what they observe goes
// into the record of the run. They see of a dispatcher only its requests and its connections. Start with Fleet.
package fakes

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/connpool"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
)

// Links gives the speed at which KV caches move between backends.
type Links struct {
	SameRack   float64 // tokens per second to a backend of the same rack
	CrossRack  float64 // tokens per second over the single link that a rack shares
	ZoneFactor float64 // factor on the time of a token that goes to another zone
}

// Fleet holds what the backends of a run share: the record, the links between them, and the effects of requests
// that backends of the same group have already carried out.
type Fleet struct {
	Terms    setup.Deployment
	Record   *record.Recorder
	Links    Links
	Profiles map[string]ClassProfile // by class

	mu           sync.Mutex
	linkSlowdown float64
	uncached     map[string]*runningMean     // uncached prompt tokens, by class
	effects      map[effectKey]time.Duration // when an effect was last carried out
	rackLinks    map[string]*sharedLink
	pools        *connpool.Manager // from decode backends to prefill backends
	ctx          context.Context
	cancel       context.CancelFunc
	starts       uint64
	answersHeld  chan struct{} // while it is open, answers stop after their first token
}

// ClassProfile describes the requests of a class.
type ClassProfile struct {
	NewTokens    float64 // mean tokens that a turn adds to the prompt
	AnswerTokens float64 // mean tokens of an answer
	PrefixTokens int     // tokens of a shared prefix
}

// effectKey identifies an effect within a group of backends.
type effectKey struct{ group, try string }

// NewFleet returns a fleet without backends and starts the upkeep of its connection pools; Close ends it.
func NewFleet(terms setup.Deployment, rec *record.Recorder, links Links, profiles map[string]ClassProfile) *Fleet {
	fleet := &Fleet{
		Terms: terms, Record: rec, Links: links, Profiles: profiles, linkSlowdown: 1,
		uncached: map[string]*runningMean{}, effects: map[effectKey]time.Duration{}, rackLinks: map[string]*sharedLink{},
	}
	fleet.ctx, fleet.cancel = context.WithCancel(context.Background())
	fleet.pools = &connpool.Manager{
		DialTimeout: 500 * time.Millisecond, MaxConnsPerBackend: 1024, Now: rec.Elapsed, Context: fleet.ctx,
		Group: &errgroup.Group{},
	}
	fleet.pools.Group.Go(fleet.pools.Run)
	return fleet
}

// Close ends the connections between backends.
func (f *Fleet) Close() {
	f.cancel()
	f.pools.Group.Wait()
}

// prefillPool returns the connection pool of a prefill backend at the addresses that an attempt names.
func (f *Fleet) prefillPool(name string, addrs []string) *connpool.Pool {
	var specs []addresses.Spec
	for _, a := range addrs {
		if s, err := connpool.ParseListen(a); err == nil {
			specs = append(specs, s)
		}
	}
	return f.pools.SetAddresses(name, specs, xxhash.Sum64String(name))
}

// SetLinkSlowdown makes all links between racks slower by a factor; 1 is the normal speed.
func (f *Fleet) SetLinkSlowdown(factor float64) {
	f.mu.Lock()
	f.linkSlowdown = factor
	f.mu.Unlock()
}

// HoldAnswers makes answers stop after their first token until it is called with false.
func (f *Fleet) HoldAnswers(hold bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if hold {
		f.answersHeld = make(chan struct{})
	} else if f.answersHeld != nil {
		close(f.answersHeld)
		f.answersHeld = nil
	}
}

// waitWhileHeld blocks while answers are held.
func (f *Fleet) waitWhileHeld(ctx context.Context) {
	f.mu.Lock()
	held := f.answersHeld
	f.mu.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-ctx.Done():
		}
	}
}

// nextStartNumber returns a number that no earlier start of a backend in this fleet had.
func (f *Fleet) nextStartNumber() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts++
	return f.starts
}

type runningMean struct{ sum, count float64 }

// meanUncached returns the mean number of uncached prompt tokens of a class so far. The first value is an estimate
// from the class's profile.
func (f *Fleet) meanUncached(class string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	uncached := f.uncached[class]
	if uncached == nil {
		uncached = &runningMean{f.Profiles[class].NewTokens + float64(f.Profiles[class].PrefixTokens)/4, 1}
		f.uncached[class] = uncached
	}
	return uncached.sum / uncached.count
}

// observeUncached adds a prompt's uncached tokens to the mean of its class.
func (f *Fleet) observeUncached(class string, tokens float64) {
	f.meanUncached(class)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.uncached[class].sum += tokens
	f.uncached[class].count++
}

// isNewEffect reports whether an attempt has an effect of its own. In a deduplicated class the backends of a group
// (a zone or a rack) drop repeats of a key that come within the deduplication window.
func (f *Fleet) isNewEffect(b *Backend, className, try string) bool {
	classIndex := f.Terms.ClassIndex(className)
	if classIndex < 0 || f.Terms.Classes[classIndex].Effect != "deduplicated" {
		return true
	}
	class := f.Terms.Classes[classIndex]
	group := map[string]string{"zone": b.Zone, "rack": b.Rack}[class.DedupScope]
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Record.Elapsed()
	seenAt, known := f.effects[effectKey{group, try}]
	if known && now-seenAt < class.DedupWindow.Std() {
		return false
	}
	f.effects[effectKey{group, try}] = now
	return true
}

// answerTokens returns the true length of the answer to a try, in tokens.
func (f *Fleet) answerTokens(class, try string, maxTokens int) int {
	return AnswerTokens(f.Profiles[class].AnswerTokens, try, maxTokens)
}

// AnswerTokens draws the length of an answer, in tokens, between 0.4 and 1.6 times a mean. It depends on the try
// alone, so that all backends give the same answer; no dispatcher is told the length.
func AnswerTokens(mean float64, try string, maxTokens int) int {
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(try), 7))
	n := int(math.Round(mean * (0.4 + 1.2*rng.Float64())))
	return min(max(n, 1), max(maxTokens, 1))
}

// transfer blocks for as long as a KV cache of that many tokens needs from one backend to another. The link of a
// rack is shared: transfers over it follow one another.
func (f *Fleet) transfer(ctx context.Context, from *Backend, toRack, toZone string, tokens float64) error {
	f.mu.Lock()
	slowdown := f.linkSlowdown
	link := f.rackLinks[from.Rack]
	if link == nil {
		link = &sharedLink{}
		f.rackLinks[from.Rack] = link
	}
	f.mu.Unlock()
	if toRack == from.Rack {
		return sleep(ctx, secondsToDuration(tokens/f.Links.SameRack))
	}
	factor := slowdown
	if toZone != from.Zone {
		factor *= max(f.Links.ZoneFactor, 1)
	}
	return link.use(ctx, secondsToDuration(tokens/f.Links.CrossRack*factor))
}

// sharedLink serves one transfer at a time.
type sharedLink struct {
	mu     sync.Mutex
	freeAt time.Time
}

// use waits until the link is free, then occupies it for a duration.
func (l *sharedLink) use(ctx context.Context, occupied time.Duration) error {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(occupied)
	until := l.freeAt
	l.mu.Unlock()
	err := sleep(ctx, time.Until(until))
	if err != nil { // a cancelled transfer gives its time on the link back
		l.mu.Lock()
		l.freeAt = l.freeAt.Add(-min(max(time.Until(until), 0), occupied))
		l.mu.Unlock()
	}
	return err
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sleep waits for a duration; it returns early with the context's cause when the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// newRand returns a random generator that depends on a seed and a name.
func newRand(seed uint64, name string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))
}
