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
	Near float64 // tokens a second to a box of the same rack
	Far  float64 // over the one link of a rack
	Zone float64 // how many times as long a token takes to another zone
}

// Fleet is what boxes of a run share: the record, links, and what a mark was seen with.
type Fleet struct {
	Terms setup.Terms
	Book  *record.Recorder
	Links Links
	Talk  map[string]Talk // by grade

	mu       sync.Mutex
	slowLink float64
	reads    map[string]*mean // tokens left to read, by grade
	seen     map[mark]time.Duration
	racks    map[string]*lane
	ways     *reach.Boxes // from writers to readers
	life     context.Context
	end      context.CancelFunc
	starts   uint64
	held     chan struct{} // while it is open, answers stop after their first token
}

// Talk is how the questions of a grade look.
type Talk struct {
	New    float64 // tokens that a turn adds, mean
	Answer float64 // tokens of an answer, mean
	Prefix int     // tokens of a shared beginning
}

type mark struct{ group, try string }

// NewFleet makes an empty fleet.
func NewFleet(terms setup.Terms, book *record.Recorder, links Links, talk map[string]Talk) *Fleet {
	f := &Fleet{
		Terms: terms, Book: book, Links: links, Talk: talk, slowLink: 1,
		reads: map[string]*mean{}, seen: map[mark]time.Duration{}, racks: map[string]*lane{},
	}
	f.life, f.end = context.WithCancel(context.Background())
	f.ways = &reach.Boxes{Limit: 500 * time.Millisecond, Most: 1024, Since: book.Elapsed, Life: f.life, Group: &errgroup.Group{}}
	f.ways.Group.Go(f.ways.Tend)
	return f
}

// Close ends the ways between boxes.
func (f *Fleet) Close() {
	f.end()
	f.ways.Group.Wait()
}

// reader is the way to a reader at the addresses that a trip names.
func (f *Fleet) reader(name string, at []string) *reach.Host {
	var specs []addresses.Spec
	for _, a := range at {
		if s, err := reach.ParseListen(a); err == nil {
			specs = append(specs, s)
		}
	}
	return f.ways.Set(name, specs, xxhash.Sum64String(name))
}

// SlowLinks makes all links so many times slower.
func (f *Fleet) SlowLinks(times float64) {
	f.mu.Lock()
	f.slowLink = times
	f.mu.Unlock()
}

// Hold makes answers stop after their first token, until it is called with false.
func (f *Fleet) Hold(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if on {
		f.held = make(chan struct{})
	} else if f.held != nil {
		close(f.held)
		f.held = nil
	}
}

// holds waits while answers are held.
func (f *Fleet) holds(ctx context.Context) {
	f.mu.Lock()
	held := f.held
	f.mu.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-ctx.Done():
		}
	}
}

// start numbers the starts of boxes.
func (f *Fleet) start() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts++
	return f.starts
}

type mean struct{ sum, n float64 }

// leftToRead is the mean of what a grade's prompts had left to read so far.
func (f *Fleet) leftToRead(grade string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.reads[grade]
	if m == nil {
		m = &mean{f.Talk[grade].New + float64(f.Talk[grade].Prefix)/4, 1}
		f.reads[grade] = m
	}
	return m.sum / m.n
}

func (f *Fleet) sawRead(grade string, left float64) {
	f.leftToRead(grade)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads[grade].sum += left
	f.reads[grade].n++
}

// runs tells whether a trip's effect is a new one: within its window a group of boxes drops a deduplicated
// question's repeats.
func (f *Fleet) runs(b *Box, grade, try string) bool {
	i := f.Terms.GradeNumber(grade)
	if i < 0 || f.Terms.Grades[i].Effect != "deduplicated" {
		return true
	}
	g := f.Terms.Grades[i]
	group := map[string]string{"zone": b.Zone, "rack": b.Rack}[g.Reach]
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Book.Elapsed()
	at, known := f.seen[mark{group, try}]
	if known && now-at < g.Window.D() {
		return false
	}
	f.seen[mark{group, try}] = now
	return true
}

// answerTokens is how long the answer to a try truly is.
func (f *Fleet) answerTokens(grade, try string, most int) int {
	return AnswerTokens(f.Talk[grade].Answer, try, most)
}

// AnswerTokens draws an answer's length about a mean: the same for a try at every box, and told to no one.
func AnswerTokens(mean float64, try string, most int) int {
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(try), 7))
	n := int(math.Round(mean * (0.4 + 1.2*rng.Float64())))
	return min(max(n, 1), max(most, 1))
}

// move takes as long as tokens need between two boxes. A rack's link is shared: moves over it follow one another.
func (f *Fleet) move(ctx context.Context, from *Box, toRack, toZone string, tokens float64) error {
	f.mu.Lock()
	slow := f.slowLink
	link := f.racks[from.Rack]
	if link == nil {
		link = &lane{}
		f.racks[from.Rack] = link
	}
	f.mu.Unlock()
	if toRack == from.Rack {
		return sleep(ctx, seconds(tokens/f.Links.Near))
	}
	times := slow
	if toZone != from.Zone {
		times *= max(f.Links.Zone, 1)
	}
	return link.use(ctx, seconds(tokens/f.Links.Far*times))
}

// lane is something that one after the other uses.
type lane struct {
	mu   sync.Mutex
	free time.Time
}

// use waits for the lane, then takes it for so long.
func (l *lane) use(ctx context.Context, d time.Duration) error {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(d)
	until := l.free
	l.mu.Unlock()
	err := sleep(ctx, time.Until(until))
	if err != nil { // what was called off leaves its turn to others
		l.mu.Lock()
		l.free = l.free.Add(-min(max(time.Until(until), 0), d))
		l.mu.Unlock()
	}
	return err
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

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
func chanceOf(seed uint64, name string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))
}
