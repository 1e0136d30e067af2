// Package account decides what a dispatcher still has to find out about the cost of its trips: which boxes to ask for which
// counts, when to ask again, when a trip is known to have cost nothing, and when nobody can tell any more. Boxes number
// their counts for each start of a dispatcher, so that each is taken in once, however often it comes. It is free of I/O;
// records go out through Write. Begin with Tracker.
package account

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"sloetrestle/internal/ledger"
)

const (
	soon     = 300 * time.Millisecond // after a trip's end, before its box is asked for a count that did not come along
	settle   = time.Second            // between inquiries at one box
	tellMost = 200                    // numbers that a box is to hold for want of a word, and
	tellIn   = 10 * time.Second       // how long: 160 dispatchers must not each send it one a second
	again    = 500 * time.Millisecond // after a failed inquiry, doubled up to the next value
	againMax = 10 * time.Second
	twice    = 2 * time.Second  // a box must say twice, so far apart, that it has nothing more: a trip may be on its way
	lost     = 60 * time.Second // after a box has left the list, before it is taken for one that nobody can ask
	mostOpen = 1 << 17          // trips whose counts are missing; older ones are then given up on, as unproven
)

// Numbers are those of a box's counts for one start of a dispatcher that are known.
type Numbers struct {
	UpTo   uint64 // all up to here
	Beyond map[uint64]bool
}

// Take adds one; false: it was known.
func (n *Numbers) Take(k uint64) bool {
	if k == 0 || k <= n.UpTo || n.Beyond[k] {
		return false
	}
	if n.Beyond == nil {
		n.Beyond = map[uint64]bool{}
	}
	n.Beyond[k] = true
	n.advance()
	return true
}

// advance takes in what follows without a gap.
func (n *Numbers) advance() {
	for n.Beyond[n.UpTo+1] {
		n.UpTo++
		delete(n.Beyond, n.UpTo)
	}
}

// skip adds all up to k, and tells how many of them were new.
func (n *Numbers) skip(k uint64) uint64 {
	was := uint64(len(n.Beyond))
	maps.DeleteFunc(n.Beyond, func(b uint64, _ bool) bool { return b <= k })
	fresh := k - n.UpTo - (was - uint64(len(n.Beyond)))
	n.UpTo = k
	n.advance()
	return fresh
}

// at is what is known of one box for one epoch.
type at struct {
	box, epoch string
	known      Numbers // written down
	durable    Numbers // written down, and on the disk
	told       uint64  // acknowledged to the box
	toldAt     time.Duration
	missing    map[string]*trip
	asked      bool // an inquiry is out
	next       time.Duration
	wait       time.Duration
	clean      time.Duration // when the box first said that it has nothing more; 0: it has not
	done       bool          // of an earlier epoch: nothing more will come
}

// whole tells whether every trip there is accounted for, durably.
func (p *at) whole() bool {
	return len(p.missing) == 0 && len(p.known.Beyond) == 0 && p.durable.UpTo == p.known.UpTo
}

// trip is one whose count is missing.
type trip struct {
	what  ledger.Attempt
	ended time.Duration // 0: it is out
}

// Inquiry asks a box for its counts of an epoch with numbers above After, and lets it forget those up to there.
type Inquiry struct {
	Backend, Epoch string
	After          uint64
}

// Reply is what the box says.
type Reply struct {
	Counts        []ledger.Attempt // in the order of their numbers
	More          bool             // there are more
	Running       int              // trips of that epoch that run there now
	ForgottenUpTo uint64           // up to which it has been told to forget
}

// Tracker is one dispatcher's.
type Tracker struct {
	Epoch string
	Began int64 // milliseconds since 1970 at its start
	Write func(ledger.Record, func())
	Now   func() time.Duration

	places map[string]*at
	order  []*at
	boxes  map[string]time.Duration // known to the list; how long they have been gone, 0: they are there
	old    []string                 // earlier epochs whose account is open

	finishing bool

	Counts Counts
}

// Counts show what was found out, and how.
type Counts struct {
	Inline, Asked, Found, Twice, Unproven, Costless, Cut int64
	Missing                                              int
	OldEpochs                                            int
}

// New makes a tracker. known are numbers from the ledger by box and epoch; old are epochs that are not closed in it.
func New(epoch string, began int64, write func(ledger.Record, func()), now func() time.Duration, sheet []RecordedCount, old []string) *Tracker {
	t := &Tracker{Epoch: epoch, Began: began, Write: write, Now: now, places: map[string]*at{}, boxes: map[string]time.Duration{}, old: old}
	for _, s := range sheet {
		p := t.place(s.Backend, s.Epoch)
		p.known.Take(s.Number)
		p.durable.Take(s.Number)
	}
	slices.Sort(t.old)
	t.Counts.OldEpochs = len(t.old)
	return t
}

// Seen is a count that the ledger has.
type RecordedCount struct {
	Backend, Epoch string
	Number         uint64
}

func placeKey(box, epoch string) string { return box + "\x00" + epoch }

func (t *Tracker) place(box, epoch string) *at {
	key := placeKey(box, epoch)
	p := t.places[key]
	if p == nil {
		p = &at{box: box, epoch: epoch, missing: map[string]*trip{}}
		t.places[key] = p
		t.order = append(t.order, p)
	}
	return p
}

func (t *Tracker) at() int64 { return t.Began + t.Now().Milliseconds() }

// Listed takes word that the list has a box, or has it no more.
func (t *Tracker) UpdateBackend(box string, gone bool) {
	if !gone {
		t.boxes[box] = 0
	} else if since, ok := t.boxes[box]; ok && since == 0 {
		t.boxes[box] = max(t.Now(), 1)
	}
}

// Sent takes word of a trip that goes out.
func (t *Tracker) AttemptSent(what ledger.Attempt) {
	what.Epoch = t.Epoch
	p := t.place(what.Backend, t.Epoch)
	p.missing[tripName(&what)] = &trip{what: what}
	p.clean = 0
	if t.Counts.Missing++; t.Counts.Missing > mostOpen {
		t.giveUpOldest()
	}
}

func tripName(w *ledger.Attempt) string {
	return w.Key + "#" + string(rune('0'+w.Index))
}

// Ended takes word of its end, with the count that the box sent along, if any. never says that nothing was sent.
func (t *Tracker) AttemptEnded(what ledger.Attempt, count *ledger.Attempt, never bool) {
	what.Epoch = t.Epoch
	p := t.place(what.Backend, t.Epoch)
	name := tripName(&what)
	m := p.missing[name]
	switch {
	case m == nil: // an inquiry was faster
		return
	case count != nil:
		if t.take(p, *count) {
			t.Counts.Inline++
		}
	case never:
		t.Counts.Costless++
		t.drop(p, name)
	default:
		m.ended = max(t.Now(), 1)
		m.what.OutputTokens, m.what.Outcome = what.OutputTokens, what.Outcome
		p.next = min(p.next, m.ended+soon)
	}
}

func (t *Tracker) drop(p *at, name string) {
	if p.missing[name] != nil {
		delete(p.missing, name)
		t.Counts.Missing--
	}
}

// take writes a count down, if it is new.
func (t *Tracker) take(p *at, count ledger.Attempt) bool {
	count.Backend, count.Epoch = p.box, p.epoch
	t.drop(p, tripName(&count))
	if !p.known.Take(count.Number) {
		t.Counts.Twice++
		return false
	}
	n := count.Number
	t.Write(ledger.Record{UnixMilli: t.at(), Attempt: &count}, func() { p.durable.Take(n) })
	return true
}

// unproven writes down what the dispatcher saw of a trip that no box will state.
func (t *Tracker) unproven(p *at, name string) {
	m := p.missing[name]
	t.drop(p, name)
	t.Counts.Unproven++
	m.what.Number = 0
	t.Write(ledger.Record{UnixMilli: t.at(), Attempt: &m.what}, nil)
}

func (t *Tracker) giveUpOldest() {
	var oldest *at
	name, when := "", time.Duration(0)
	for _, p := range t.order {
		for n, m := range p.missing {
			if m.ended > 0 && (name == "" || m.ended < when || m.ended == when && n < name) {
				oldest, name, when = p, n, m.ended
			}
		}
	}
	if oldest != nil {
		t.unproven(oldest, name)
	}
}

// Ask tells which boxes to ask now.
func (t *Tracker) DueInquiries() []Inquiry {
	now := t.Now()
	for _, epoch := range t.old {
		for box := range t.boxes {
			t.place(box, epoch)
		}
	}
	var out []Inquiry
	for _, p := range t.order {
		gone := t.boxes[p.box]
		if _, listed := t.boxes[p.box]; !listed {
			gone = 1 // the ledger knows it, the list has not named it
		}
		if p.asked || now < p.next || p.done {
			continue
		}
		if gone > 0 && now-gone > lost {
			t.lose(p)
			continue
		}
		if t.wants(p, now) {
			p.asked = true
			t.Counts.Asked++
			out = append(out, Inquiry{p.box, p.epoch, p.durable.UpTo})
		}
	}
	t.forget(now)
	t.close()
	slices.SortFunc(out, func(a, b Inquiry) int {
		return cmp.Or(cmp.Compare(a.Backend, b.Backend), cmp.Compare(a.Epoch, b.Epoch))
	})
	return out
}

// forget drops boxes that nobody can ask any more and of which nothing is missing.
func (t *Tracker) forget(now time.Duration) {
	t.order = slices.DeleteFunc(t.order, func(p *at) bool {
		gone, listed := t.boxes[p.box]
		if !listed || gone == 0 || now-gone <= lost || p.epoch != t.Epoch || p.asked || !p.whole() {
			return false
		}
		delete(t.places, placeKey(p.box, p.epoch))
		return true
	})
	for box, gone := range t.boxes {
		if gone > 0 && now-gone > lost && !slices.ContainsFunc(t.order, func(p *at) bool { return p.box == box }) {
			delete(t.boxes, box)
		}
	}
}

// wants tells whether there is something to learn from a box, or to tell it.
func (t *Tracker) wants(p *at, now time.Duration) bool {
	if p.epoch != t.Epoch {
		return true
	}
	for _, m := range p.missing {
		if m.ended > 0 && now-m.ended >= soon {
			return true
		}
	}
	// Numbers that are missing in between, or those to be acknowledged.
	untold := p.durable.UpTo - min(p.told, p.durable.UpTo)
	return len(p.known.Beyond) > 0 || untold > 0 && (t.finishing || untold >= tellMost || now-p.toldAt >= tellIn)
}

// lose gives up on a box.
func (t *Tracker) lose(p *at) {
	for _, name := range sorted(p.missing) {
		if p.missing[name].ended > 0 {
			t.unproven(p, name)
		}
	}
	p.done = p.epoch != t.Epoch
	p.next = t.Now() + settle
}

func sorted(m map[string]*trip) []string {
	var out []string
	for name := range m {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Heard takes a box's reply; nil: it could not be asked.
func (t *Tracker) HandleReply(q Inquiry, r *Reply) {
	p := t.place(q.Backend, q.Epoch)
	now := t.Now()
	p.asked = false
	// Of this start a box forgets what it was told to, and no more.
	if r == nil || p.epoch == t.Epoch && r.ForgottenUpTo > max(q.After, p.told) {
		p.wait = min(max(2*p.wait, again), againMax)
		p.next = now + p.wait
		p.clean = 0
		return
	}
	p.wait, p.next = 0, now+settle
	p.told, p.toldAt = max(p.told, q.After), now
	for _, c := range r.Counts {
		if t.take(p, c) {
			t.Counts.Found++
		}
	}
	// The box was told to forget more than this ledger has: records were cut off its end.
	if r.ForgottenUpTo > q.After && r.ForgottenUpTo > p.known.UpTo {
		t.Counts.Cut += int64(min(p.known.skip(r.ForgottenUpTo), math.MaxInt64/2))
		p.durable.skip(r.ForgottenUpTo)
	}
	switch {
	case r.More:
		p.next = now
	case r.Running > 0 || len(r.Counts) > 0:
		p.clean = 0
	case p.clean == 0:
		p.clean = max(now, 1)
	case now-p.clean >= twice:
		// It has nothing more: what is missing and was over before it first said so never came there.
		for _, name := range sorted(p.missing) {
			if m := p.missing[name]; m.ended > 0 && m.ended < p.clean {
				t.Counts.Costless++
				t.drop(p, name)
			}
		}
		if p.epoch != t.Epoch {
			p.done = true
		} else {
			p.clean = 0
		}
	}
}

// close ends the account of an earlier epoch that every box has answered for, or that nobody can.
func (t *Tracker) close() {
	if len(t.boxes) == 0 {
		return
	}
	t.old = slices.DeleteFunc(t.old, func(epoch string) bool {
		for _, p := range t.order {
			if p.epoch == epoch && !p.done {
				return false
			}
		}
		t.Write(ledger.Record{UnixMilli: t.at(), Epoch: &ledger.Epoch{Name: epoch, Closed: true}}, nil)
		return true
	})
	t.Counts.OldEpochs = len(t.old)
}

// Question writes the end of one down.
func (t *Tracker) RequestEnded(q ledger.Request) {
	t.Write(ledger.Record{UnixMilli: t.at(), Request: &q}, nil)
}

// Finish has boxes told at once that they may forget: this start ends.
func (t *Tracker) Finish() { t.finishing = true }

// Whole tells whether every trip of this start is accounted for, durably, and its boxes know.
func (t *Tracker) Complete() bool {
	for _, p := range t.order {
		if p.epoch == t.Epoch && (!p.whole() || t.finishing && p.told < p.durable.UpTo) {
			return false
		}
	}
	return true
}

// Close ends the account of this start, if it is whole; else the next start goes on with it.
func (t *Tracker) Close() {
	if t.Complete() {
		t.Write(ledger.Record{UnixMilli: t.at(), Epoch: &ledger.Epoch{Name: t.Epoch, Closed: true}}, nil)
	}
}
