// Package platform is one dispatcher as the users' platform runs it: it reads the configuration that the platform hands over, takes
// requests from clients, carries attempts to backends and follows discovery, all over the same dispatch.Loop and reach that serve has.
// It decides nothing about requests, and knows the protocol only through chat and endpoints. Begin with Run.
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sloetrestle/brain"
)

// Place is what the platform tells a dispatcher.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	Known      json.RawMessage `json:"known"`
	Settings   map[string]any  `json:"settings"`
}

// fileMost bounds a configuration.
const fileMost = 16 << 20

// Load reads a configuration; what it lacks comes from the environment.
func Load(file string, env func(string) string) (Config, error) {
	var p Config
	info, err := os.Stat(file)
	if err != nil {
		return p, err
	}
	if info.Size() > fileMost {
		return p, fmt.Errorf("%s: %d bytes are no configuration", file, info.Size())
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return p, err
	}
	if err := json.Unmarshal(raw, &p); err != nil {
		return p, fmt.Errorf("%s: %w", file, err)
	}
	for _, f := range []struct {
		into *string
		name string
	}{{&p.Name, "BALANCER_NAME"}, {&p.Listen, "BALANCER_LISTEN"}, {&p.Discovery, "BALANCER_DISCOVERY"}} {
		if *f.into == "" {
			*f.into = env(f.name)
		}
	}
	p.Discovery = strings.TrimSuffix(strings.TrimPrefix(p.Discovery, "http://"), "/")
	return p, p.check()
}

func (p Config) check() error {
	switch {
	case p.Listen == "":
		return errors.New("listen is missing")
	case p.Discovery == "":
		return errors.New("discovery is missing")
	case len(p.Settings) == 0:
		return errors.New("settings are missing")
	case p.Limits.MemoryMB < 0 || p.Limits.Sockets < 0:
		return errors.New("limits make no sense")
	}
	return brain.FlattenSettings(p.Settings).Validate()
}

// chance is the seed for the module.
func (p Config) chance() uint64 {
	if n, err := strconv.ParseUint(p.Seed, 16, 64); err == nil {
		return n
	}
	return xxhash.Sum64String(p.Seed)
}

// Shares of the descriptors, and of the memory.
const (
	ownSockets  = 24   // what is neither a client's nor a backend's: listener, discovery, peers, the process's own
	clientShare = 0.55 // of the rest, for connections of clients
	boxShare    = 0.35 // of the rest, for attempts
	callShare   = 0.08 // of the rest, for calls that release
	heapShare   = 0.6  // of the memory, above which the collector works harder
	bodyShare   = 0.2  // of the memory, for the bodies of requests
	socketsElse = 1024
	memoryElse  = 192
)

// room is what the limits leave to each use.
type room struct {
	clients, boxes int   // connections
	releases       int   // calls that release, at a time
	heap, bodies   int64 // bytes
}

func (p Config) room() room {
	sockets, memory := p.Limits.Sockets, int64(p.Limits.MemoryMB)<<20
	if sockets == 0 {
		sockets = socketsElse
	}
	if memory == 0 {
		memory = memoryElse << 20
	}
	free := max(sockets-ownSockets, 16)
	share := func(part float64, least int) int { return max(int(part*float64(free)), least) }
	return room{
		clients: share(clientShare, 8), boxes: share(boxShare, 4), releases: share(callShare, 2),
		heap: int64(heapShare * float64(memory)), bodies: int64(bodyShare * float64(memory)),
	}
}
