package platform

import (
	"slices"
	"testing"

	"sloetrestle/brain"
	"sloetrestle/internal/reach"
)

// named are so many backends, and what names an order of them.
func named(names ...string) (hosts map[string]*reach.Pool, in func([]*reach.Pool) []string) {
	hosts = map[string]*reach.Pool{}
	for _, name := range names {
		hosts[name] = &reach.Pool{Name: name}
	}
	return hosts, func(order []*reach.Pool) (names []string) {
		for _, h := range order {
			names = append(names, h.Name)
		}
		return names
	}
}

func TestWhoeverWasHeardLastIsAskedFirst(t *testing.T) {
	hosts, in := named("r1", "r2", "r3", "w1", "w2")
	var l heardList
	for _, name := range []string{"r1", "r2", "r3"} {
		l.add(hosts[name], failureDomain{brain.RolePrefill, 0})
	}
	for _, name := range []string{"w1", "w2"} {
		l.add(hosts[name], failureDomain{brain.RoleDecode, 0})
	}
	for _, c := range []struct {
		name   string
		change func()
		want   []string
	}{
		{"nothing was heard: one of each role in turn", func() {}, []string{"r1", "w1", "r2", "w2", "r3"}},
		{"heard", func() { l.heard(hosts["r3"]) }, []string{"r3", "w1", "r1", "w2", "r2"}},
		{"the other role was heard later", func() { l.heard(hosts["w2"]) }, []string{"w2", "r3", "w1", "r1", "r2"}},
		{"asked, and silent", func() { l.silent(hosts["r3"]) }, []string{"w2", "r1", "w1", "r2", "r3"}},
		{"gone", func() { l.remove(hosts["w2"]); l.heard(hosts["w2"]) }, []string{"r1", "w1", "r2", "r3"}},
	} {
		c.change()
		if got := in(l.lastHeard()); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, wanted %v", c.name, got, c.want)
		}
	}
}

// The backend that may hold the state is asked second, whether it was heard or not: it is the one that has to know.
func TestTheHolderOfAStateIsAskedSecond(t *testing.T) {
	hosts, in := named("r1", "r2", "w1", "stranger")
	c := &transport{}
	c.heard.add(hosts["r1"], failureDomain{brain.RolePrefill, 0})
	c.heard.add(hosts["r2"], failureDomain{brain.RolePrefill, 0})
	c.heard.add(hosts["w1"], failureDomain{brain.RoleDecode, 0})
	for holder, want := range map[string][]string{
		"r1": {"r1", "w1", "r2"}, "r2": {"r1", "r2", "w1"}, "stranger": {"r1", "stranger", "w1", "r2"},
	} {
		if got := in(c.releaseOrder(hosts[holder])); !slices.Equal(got, want) {
			t.Errorf("%s: %v, wanted %v", holder, got, want)
		}
	}
}
