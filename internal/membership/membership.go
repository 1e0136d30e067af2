// Package membership tracks which dispatchers of a fleet are alive. It follows SWIM (Das, Gupta, Motivala, 2002):
// members probe each other, suspect those that do not answer, and piggyback membership updates on their messages;
// suspicions shorten as other members confirm them (Lifeguard, 2018). It does no I/O: messages are passed in and out
// together with the time, and randomness comes from a seed. Begin with View.
package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sloetrestle/scheduler"
)

const (
	probeInterval       = 250 * time.Millisecond // one member is probed in each; a shuffled round covers all
	directTimeout       = 100 * time.Millisecond // for the answer to a direct probe, before indirect probes are requested
	indirectProbes      = 3                      // members that are requested to probe indirectly
	maxSuspicion        = 6 * time.Second        // of a suspicion that no other member confirms
	minSuspicion        = 700 * time.Millisecond // of a suspicion with maxConfirmations confirmations
	maxConfirmations    = 3
	maxPiggyback        = 6                // updates in one message
	transmitFactor      = 3.0              // an update is sent transmitFactor * log2(members) times
	deadRetention       = time.Minute      // dead members are remembered, so that old updates do not revive them
	recentlyDead        = 30 * time.Second // how long MaxSize counts a dead member
	joinInterval        = time.Second      // between attempts to reach a seed
	rejoinInterval      = 2 * time.Second  // between attempts to reach dead members: a partition must heal
	minSyncInterval     = time.Second      // between full state exchanges, doubled up to maxSyncInterval
	maxSyncInterval     = 30 * time.Second
	smallFleetSuspicion = 2 * time.Second // maxSuspicion where too few other members can confirm
	maxMembers          = 512             // known members; further ones are ignored
)

// State is the state of a member. Of two updates with the same incarnation the one with the higher state wins.
type State int

const (
	Alive   State = iota
	Suspect       // did not answer a probe
	Dead          // did not refute its suspicion in time
	Left          // announced its leave
)

// Update is what one member knows about another.
type Update struct {
	Name        string `cbor:"1,keyasint"`
	Address     string `cbor:"2,keyasint"` // that receives its messages
	Zone        string `cbor:"3,keyasint,omitempty"`
	Incarnation uint64 `cbor:"4,keyasint"` // milliseconds since 1970 at its start, raised by one to refute
	State       State  `cbor:"5,keyasint,omitempty"`
	SuspectedBy string `cbor:"6,keyasint,omitempty"` // the member that suspects it
}

// Kind is the kind of a message.
type Kind int

const (
	Ping      Kind = iota // asks for an Ack
	Ack                   // answers a Ping
	PingReq               // asks the recipient to ping Target on behalf of the sender
	Join                  // asks for a FullState
	FullState             // all known members, or a part of them
)

// Message is sent from one member to another. Number matches an answer with its request.
type Message struct {
	Kind    Kind     `cbor:"1,keyasint"`
	From    Update   `cbor:"2,keyasint"`
	Number  uint64   `cbor:"3,keyasint,omitempty"`
	Target  string   `cbor:"4,keyasint,omitempty"` // of a PingReq, and of the Ack to one
	Updates []Update `cbor:"5,keyasint,omitempty"`
}

// Member is another dispatcher.
type Member struct {
	Update
	Since             time.Duration // when it entered its state
	confirmedBy       map[string]bool
	suspicionDeadline time.Duration
	transmitsLeft     int // how often its update is still to be sent
}

// probe is a ping that waits for its answer.
type probe struct {
	target    string
	requester Update // the member that requested an indirect probe; empty: this member
	number    uint64 // of the requester's PingReq
	indirect  bool   // indirect probes have been requested
	sentAt    time.Duration
	answered  bool
}

// View is the membership as one dispatcher sees it.
type View struct {
	Self  Update
	Seeds []string // addresses
	Send  func(to string, m Message)

	rng          *scheduler.PCG
	known        map[string]*Member
	sorted       []*Member // the known members by name
	probeOrder   []string  // rest of the shuffled round
	nextProbe    time.Duration
	number       uint64
	outstanding  map[uint64]*probe
	current      *probe
	joined       bool
	lastJoin     time.Duration
	nextSync     time.Duration
	syncInterval time.Duration
	leaving      bool

	Counts Counts
}

// Counts counts the events of a view.
type Counts struct {
	Sent, Suspected, Refuted, Removed, Joined, Refused int64
}

// New returns a view that knows no other member.
func New(self Update, seeds []string, seed uint64, send func(string, Message)) *View {
	self.State = Alive
	return &View{Self: self, Seeds: seeds, Send: send, rng: scheduler.NewPCG(seed), known: map[string]*Member{},
		outstanding: map[uint64]*probe{}}
}

// Members returns the other members that are alive or suspected, by name.
func (v *View) Members() []*Member {
	return v.filter(func(m *Member) bool { return m.State == Alive || m.State == Suspect })
}

func (v *View) filter(matches func(*Member) bool) []*Member {
	var out []*Member
	for _, m := range v.sorted {
		if matches(m) {
			out = append(out, m)
		}
	}
	return out
}

// index returns the position of a name in sorted, or where it would be inserted.
func (v *View) index(name string) int {
	i, _ := slices.BinarySearchFunc(v.sorted, name, func(m *Member, name string) int {
		return cmp.Compare(m.Name, name)
	})
	return i
}

// Size returns the number of alive or suspected dispatchers, including this one.
func (v *View) Size() int { return 1 + len(v.Members()) }

// MaxSize returns the largest plausible number of dispatchers. A member that is taken for dead may live on the other
// side of a partition and send its share to backends that warm up there, so it counts for recentlyDead. A member that
// announced its leave does not count.
func (v *View) MaxSize(now time.Duration) int {
	return 1 + len(v.filter(func(m *Member) bool {
		return m.State <= Suspect || m.State == Dead && now-m.Since < recentlyDead
	}))
}

// send adds piggybacked updates to a message and sends it.
func (v *View) send(to string, m Message) { v.sendToMember("", to, m) }

// sendToMember sends to a member by name and adds what is known against it: otherwise a member that was wrongly
// declared dead would never hear of it and could not refute it.
func (v *View) sendToMember(name, address string, m Message) {
	m.From = v.Self
	if m.Kind != FullState {
		m.Updates = v.piggyback()
		if k := v.known[name]; k != nil && k.State != Alive {
			m.Updates = append(m.Updates, k.Update)
		}
	}
	v.Counts.Sent++
	v.Send(address, m)
}

// transmitLimit returns how often an update is sent.
func (v *View) transmitLimit() int {
	return int(math.Ceil(transmitFactor * math.Log2(float64(len(v.known)+2))))
}

// piggyback picks the updates that were sent least often.
func (v *View) piggyback() []Update {
	fresh := v.filter(func(m *Member) bool { return m.transmitsLeft > 0 })
	slices.SortStableFunc(fresh, func(a, b *Member) int { return cmp.Compare(b.transmitsLeft, a.transmitsLeft) })
	var out []Update
	for _, m := range fresh[:min(len(fresh), maxPiggyback)] {
		m.transmitsLeft--
		out = append(out, m.Update)
	}
	return out
}

// Tick advances the view to now. It must be called at least ten times a second.
func (v *View) Tick(now time.Duration) {
	for _, member := range v.filter(func(member *Member) bool {
		return member.State == Suspect &&
			now >= member.suspicionDeadline
	}) {
		v.Counts.Removed++
		v.set(now, member, Update{member.Name, member.Address, member.Zone, member.Incarnation, Dead, ""})
	}
	for _, member := range v.filter(func(member *Member) bool {
		return member.State >= Dead &&
			now-member.Since > deadRetention
	}) {
		delete(v.known, member.Name)
		v.sorted = slices.Delete(v.sorted, v.index(member.Name), v.index(member.Name)+1)
	}
	v.join(now)
	v.syncState(now)
	if ping := v.current; ping != nil && !ping.answered && !ping.indirect && now >= ping.sentAt+directTimeout {
		ping.indirect = true
		v.probeIndirectly(ping)
	}
	for number, ping := range v.outstanding {
		if now-ping.sentAt > 4*probeInterval {
			delete(v.outstanding, number)
		}
	}
	if now < v.nextProbe || v.leaving {
		return
	}
	if v.nextProbe == 0 { // members that start together must not probe in step
		v.nextProbe = now + time.Duration(v.rng.Float()*float64(probeInterval))
		return
	}
	v.nextProbe = max(v.nextProbe+probeInterval, now)
	if ping := v.current; ping != nil && !ping.answered {
		if member := v.known[ping.target]; member != nil && member.State <= Suspect {
			if member.State == Alive {
				v.Counts.Suspected++
			}
			v.applyUpdate(now, Update{member.Name, member.Address, member.Zone, member.Incarnation, Suspect, v.Self.Name})
		}
	}
	v.current = nil
	if member := v.nextTarget(); member != nil {
		v.current = v.ping(now, member, Update{}, 0)
	}
}

// ping probes a member, for itself or on behalf of a requester.
func (v *View) ping(now time.Duration, m *Member, requester Update, number uint64) *probe {
	v.number++
	p := &probe{target: m.Name, requester: requester, number: number, sentAt: now}
	v.outstanding[v.number] = p
	v.sendToMember(m.Name, m.Address, Message{Kind: Ping, Number: v.number})
	return p
}

// nextTarget returns the next member of the shuffled round and starts a new round after the last one.
func (v *View) nextTarget() *Member {
	for range 2 {
		for len(v.probeOrder) > 0 {
			m := v.known[v.probeOrder[0]]
			v.probeOrder = v.probeOrder[1:]
			if m != nil && m.State <= Suspect {
				return m
			}
		}
		for _, m := range v.Members() {
			v.probeOrder = append(v.probeOrder, m.Name)
		}
		for i := len(v.probeOrder) - 1; i > 0; i-- {
			j := int(v.rng.Float() * float64(i+1))
			v.probeOrder[i], v.probeOrder[j] = v.probeOrder[j], v.probeOrder[i]
		}
	}
	return nil
}

// probeIndirectly has other members probe the target of p: only the path from here to it may be broken.
func (v *View) probeIndirectly(p *probe) {
	others := v.filter(func(m *Member) bool { return m.State == Alive && m.Name != p.target })
	for number, candidate := range v.outstanding {
		if candidate == p {
			for range min(indirectProbes, len(others)) {
				j := int(v.rng.Float() * float64(len(others)))
				v.send(others[j].Address, Message{Kind: PingReq, Number: number, Target: p.target})
				others = slices.Delete(others, j, j+1)
			}
			return
		}
	}
}

// join requests the full state from a seed while no other member is known. Later it requests it now and then from a
// member that is taken for dead, or from a seed that is not among the members.
func (v *View) join(now time.Duration) {
	wait := rejoinInterval
	if !v.joined || len(v.Members()) == 0 {
		wait = joinInterval
	}
	if v.leaving || v.lastJoin > 0 && now-v.lastJoin < wait {
		return
	}
	type recipient struct{ name, address string }
	var recipients []recipient
	for _, m := range v.filter(func(m *Member) bool { return m.State == Dead }) {
		recipients = append(recipients, recipient{m.Name, m.Address})
	}
	for _, seed := range v.Seeds {
		if seed != v.Self.Address &&
			!slices.ContainsFunc(v.Members(), func(m *Member) bool { return m.Address == seed }) {
			recipients = append(recipients, recipient{"", seed})
		}
	}
	if len(recipients) == 0 {
		return // every seed is a member and no member is dead
	}
	v.lastJoin = max(now, 1)
	to := recipients[int(v.rng.Float()*float64(len(recipients)))]
	v.sendToMember(to.name, to.address, Message{Kind: Join})
}

// syncState requests the full state from a random member: soon after a start, when many members may join at once and
// their updates crowd each other out of the messages, and rarely later.
func (v *View) syncState(now time.Duration) {
	if v.leaving || now < v.nextSync {
		return
	}
	alive := v.filter(func(m *Member) bool { return m.State == Alive })
	if len(alive) == 0 {
		return
	}
	v.syncInterval = min(max(2*v.syncInterval, minSyncInterval), maxSyncInterval)
	v.nextSync = now + time.Duration((0.5+v.rng.Float())*float64(v.syncInterval))
	m := alive[int(v.rng.Float()*float64(len(alive)))]
	v.sendToMember(m.Name, m.Address, Message{Kind: Join})
}

// HandleMessage processes a message from another member.
func (v *View) HandleMessage(now time.Duration, message Message) {
	if message.From.Name == "" || message.From.Address == "" ||
		message.From.Name == v.Self.Name && message.From.Incarnation <= v.Self.Incarnation {
		v.Counts.Refused++
		return
	}
	if message.Kind != Ack || message.From.Name != v.Self.Name {
		v.applyUpdate(now, message.From)
	}
	for _, u := range message.Updates {
		v.applyUpdate(now, u)
	}
	switch message.Kind {
	case Ping:
		v.sendToMember(message.From.Name, message.From.Address, Message{Kind: Ack, Number: message.Number})
	case PingReq:
		if target := v.known[message.Target]; target != nil && target.State <= Suspect {
			v.ping(now, target, message.From, message.Number)
		}
	case Ack:
		if p := v.outstanding[message.Number]; p != nil {
			p.answered = true
			if p.requester.Name != "" {
				v.send(p.requester.Address, Message{Kind: Ack, Number: p.number, Target: p.target})
				delete(v.outstanding, message.Number)
			}
		}
	case Join:
		var all []Update
		for _, other := range v.Members() {
			all = append(all, other.Update)
		}
		all = append(all, v.Self)
		for len(all) > 0 { // a datagram holds about 20 updates
			n := min(len(all), 20)
			v.send(message.From.Address, Message{Kind: FullState, Updates: all[:n]})
			all = all[n:]
		}
	case FullState:
		v.joined = true
	}
}

// supersedes reports whether an update replaces what is known: a later incarnation does, and within the same
// incarnation a higher state.
func supersedes(u Update, m *Member) bool {
	return u.Incarnation > m.Incarnation || u.Incarnation == m.Incarnation && u.State > m.State
}

// applyUpdate applies an update about a member, from itself or from others.
func (v *View) applyUpdate(now time.Duration, update Update) {
	if update.Name == v.Self.Name {
		// A wrong state of this member, or of an earlier start under its name, is refuted by a higher incarnation. A
		// process that started later under the same name keeps the name; this one must not compete with it.
		if update.State != Alive && update.Incarnation >= v.Self.Incarnation &&
			update.Incarnation < v.Self.Incarnation+1000 &&
			!v.leaving {
			v.Self.Incarnation = update.Incarnation + 1
			v.Counts.Refuted++
		}
		return
	}
	member := v.known[update.Name]
	if member == nil {
		if update.State >= Dead || len(v.known) >= maxMembers || update.Address == "" {
			return
		}
		member = &Member{}
		member.Name = update.Name
		v.sorted = slices.Insert(v.sorted, v.index(update.Name), member)
		v.known[update.Name] = member
		v.Counts.Joined++
		v.set(now, member, update)
		return
	}
	if update.State == Suspect && member.State == Suspect && update.Incarnation == member.Incarnation {
		v.confirm(now, member, update.SuspectedBy)
		return
	}
	if supersedes(update, member) {
		v.set(now, member, update)
	}
}

// set replaces what is known of a member and has the update sent to others.
func (v *View) set(now time.Duration, m *Member, u Update) {
	if m.State != u.State || m.Since == 0 {
		m.Since = now
	}
	m.Update, m.transmitsLeft = u, v.transmitLimit()
	m.confirmedBy = nil
	if u.State == Suspect {
		m.confirmedBy = map[string]bool{}
		m.suspicionDeadline = now + maxSuspicion
		m.Since = now
		v.confirm(now, m, u.SuspectedBy)
	}
}

// confirm shortens a suspicion when another member shares it.
func (v *View) confirm(now time.Duration, member *Member, by string) {
	if member.confirmedBy[by] || len(member.confirmedBy) > maxConfirmations {
		return
	}
	member.confirmedBy[by] = true
	if len(member.confirmedBy) > 1 {
		member.Update.SuspectedBy = by // the confirmation is sent on as a new update
		member.transmitsLeft = max(member.transmitsLeft, v.transmitLimit()/2)
	}
	share := min(math.Log(float64(len(member.confirmedBy)))/math.Log(maxConfirmations+1), 1)
	longest := maxSuspicion
	if len(v.Members())-1 < maxConfirmations {
		longest = smallFleetSuspicion
	}
	member.suspicionDeadline = member.Since + longest - time.Duration(share*float64(longest-minSuspicion))
}

// Leave announces to the other members that this one leaves.
func (v *View) Leave() {
	v.leaving = true
	v.Self.State = Left
	for _, m := range v.Members() {
		v.send(m.Address, Message{Kind: Ack})
	}
}
