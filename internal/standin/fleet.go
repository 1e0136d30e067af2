// Package standin is what the project plays itself around a dispatcher: boxes of the three roles, the box list,
// and clients, on loopback sockets and with scripted faults. They are models in real time, not measurements of
// engines, and take down what they see in a record.Book. They know nothing of a dispatcher but its requests. Begin
// with Fleet.
package standin

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/reach"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
)

// Links are the ways that read states take between boxes.
type Links struct {
	SameRack   float64 // tokens a second to a box of the same rack
	CrossRack  float64 // over the one link of a rack
	ZoneFactor float64 // how many times as long a token takes to another zone
}

// Fleet is what boxes of a run share: the record, links, and what a mark was seen with.
type Fleet struct {
	Terms    setup.Deployment
	Record   *record.Recorder
	Links    Links
	Profiles map[string]ClassProfile // by grade

	mu           sync.Mutex
	linkSlowdown float64
	uncached     map[string]*runningMean // tokens left to read, by grade
	effects      map[effectKey]time.Duration
	rackLinks    map[string]*sharedLink
	pools        *reach.Manager // from writers to readers
	ctx          context.Context
	cancel       context.CancelFunc
	starts       uint64
	answersHeld  chan struct{} // while it is open, answers stop after their first token
}

// Talk is how the questions of a grade look.
type ClassProfile struct {
	NewTokens    float64 // tokens that a turn adds, mean
	AnswerTokens float64 // tokens of an answer, mean
	PrefixTokens int     // tokens of a shared beginning
}

type effectKey struct{ group, try string }

// NewFleet makes an empty fleet.
func NewFleet(terms setup.Deployment, book *record.Recorder, links Links, talk map[string]ClassProfile) *Fleet {
	f := &Fleet{
		Terms: terms, Record: book, Links: links, Profiles: talk, linkSlowdown: 1,
		uncached: map[string]*runningMean{}, effects: map[effectKey]time.Duration{}, rackLinks: map[string]*sharedLink{},
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.pools = &reach.Manager{DialTimeout: 500 * time.Millisecond, MaxConnsPerBackend: 1024, Now: book.Elapsed, Context: f.ctx, Group: &errgroup.Group{}}
	f.pools.Group.Go(f.pools.Run)
	return f
}

// Close ends the ways between boxes.
func (f *Fleet) Close() {
	f.cancel()
	f.pools.Group.Wait()
}

// reader is the way to a reader at the addresses that a trip names.
func (f *Fleet) prefillPool(name string, at []string) *reach.Pool {
	var specs []addresses.Spec
	for _, a := range at {
		if s, err := reach.ParseListen(a); err == nil {
			specs = append(specs, s)
		}
	}
	return f.pools.SetAddresses(name, specs, xxhash.Sum64String(name))
}

// SlowLinks makes all links so many times slower.
func (f *Fleet) SetLinkSlowdown(times float64) {
	f.mu.Lock()
	f.linkSlowdown = times
	f.mu.Unlock()
}

// Hold makes answers stop after their first token, until it is called with false.
func (f *Fleet) HoldAnswers(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if on {
		f.answersHeld = make(chan struct{})
	} else if f.answersHeld != nil {
		close(f.answersHeld)
		f.answersHeld = nil
	}
}

// holds waits while answers are held.
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

// start numbers the starts of boxes.
func (f *Fleet) nextStartNumber() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts++
	return f.starts
}

type runningMean struct{ sum, count float64 }

// leftToRead is the mean of what a grade's prompts had left to read so far.
func (f *Fleet) meanUncached(grade string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.uncached[grade]
	if m == nil {
		m = &runningMean{f.Profiles[grade].NewTokens + float64(f.Profiles[grade].PrefixTokens)/4, 1}
		f.uncached[grade] = m
	}
	return m.sum / m.count
}

func (f *Fleet) observeUncached(grade string, left float64) {
	f.meanUncached(grade)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.uncached[grade].sum += left
	f.uncached[grade].count++
}

// runs tells whether a trip's effect is a new one: within its window a group of boxes drops a deduplicated
// question's repeats.
func (f *Fleet) isNewEffect(b *Backend, grade, try string) bool {
	i := f.Terms.ClassIndex(grade)
	if i < 0 || f.Terms.Classes[i].Effect != "deduplicated" {
		return true
	}
	g := f.Terms.Classes[i]
	group := map[string]string{"zone": b.Zone, "rack": b.Rack}[g.DedupScope]
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Record.Elapsed()
	at, known := f.effects[effectKey{group, try}]
	if known && now-at < g.DedupWindow.Std() {
		return false
	}
	f.effects[effectKey{group, try}] = now
	return true
}

// answerTokens is how long the answer to a try truly is.
func (f *Fleet) answerTokens(grade, try string, most int) int {
	return AnswerTokens(f.Profiles[grade].AnswerTokens, try, most)
}

// AnswerTokens draws an answer's length about a mean: the same for a try at every box, and told to no one.
func AnswerTokens(mean float64, try string, most int) int {
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(try), 7))
	n := int(math.Round(mean * (0.4 + 1.2*rng.Float64())))
	return min(max(n, 1), max(most, 1))
}

// move takes as long as tokens need between two boxes. A rack's link is shared: moves over it follow one another.
func (f *Fleet) transfer(ctx context.Context, from *Backend, toRack, toZone string, tokens float64) error {
	f.mu.Lock()
	slow := f.linkSlowdown
	link := f.rackLinks[from.Rack]
	if link == nil {
		link = &sharedLink{}
		f.rackLinks[from.Rack] = link
	}
	f.mu.Unlock()
	if toRack == from.Rack {
		return sleep(ctx, secondsToDuration(tokens/f.Links.SameRack))
	}
	times := slow
	if toZone != from.Zone {
		times *= max(f.Links.ZoneFactor, 1)
	}
	return link.use(ctx, secondsToDuration(tokens/f.Links.CrossRack*times))
}

// lane is something that one after the other uses.
type sharedLink struct {
	mu     sync.Mutex
	freeAt time.Time
}

// use waits for the lane, then takes it for so long.
func (l *sharedLink) use(ctx context.Context, d time.Duration) error {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(d)
	until := l.freeAt
	l.mu.Unlock()
	err := sleep(ctx, time.Until(until))
	if err != nil { // what was called off leaves its turn to others
		l.mu.Lock()
		l.freeAt = l.freeAt.Add(-min(max(time.Until(until), 0), d))
		l.mu.Unlock()
	}
	return err
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

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

// chanceOf makes a generator for a name.
func newRand(seed uint64, name string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))
}
