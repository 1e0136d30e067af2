// Package platform runs one dispatcher in the users' platform: it reads the platform's configuration, accepts client
// requests, sends attempts to backends and follows service discovery. Scheduling decisions are made by package
// scheduler
// behind the event loop of package dispatch, and the wire protocols are those of packages chat and endpoints. Begin
// with Run.
package platform

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sloetrestle/internal/memory"
	"sloetrestle/internal/system"
	"sloetrestle/scheduler"
)

// Config is the configuration that the platform hands to a dispatcher.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`    // address for clients, host:port
	Discovery string `json:"discovery"` // address of service discovery, host:port
	Seed      string `json:"seed"`      // of random decisions, in hexadecimal
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"` // in MiB; 0: not stated
		Sockets  int     `json:"sockets"`   // descriptors; 0: not stated
	} `json:"limits"`
	PeerListen string          `json:"peer_listen"` // UDP address for peer updates; empty: none
	Peers      []string        `json:"peers"`       // addresses of the other dispatchers
	LastKnown  json.RawMessage `json:"known"`       // last-known endpoints, in discovery's format
	Settings   map[string]any  `json:"settings"`
}

// maxConfigBytes bounds the size of a configuration file.
const maxConfigBytes = 16 << 20

// Load reads a configuration file. A name, listen or discovery address that the file lacks is taken from the
// environment.
func Load(file string, getenv func(string) string) (Config, error) {
	var config Config
	info, err := os.Stat(file)
	if err != nil {
		return config, err
	}
	if info.Size() > maxConfigBytes {
		return config, fmt.Errorf("configuration file %s has %d bytes, the limit is %d", file, info.Size(), maxConfigBytes)
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return config, err
	}
	if err := json.Unmarshal(raw, &config); err != nil {
		return config, fmt.Errorf("parsing configuration file %s: %w", file, err)
	}
	for _, fallback := range []struct {
		field    *string
		variable string
	}{{&config.Name, "BALANCER_NAME"}, {&config.Listen, "BALANCER_LISTEN"}, {&config.Discovery, "BALANCER_DISCOVERY"}} {
		if *fallback.field == "" {
			*fallback.field = getenv(fallback.variable)
		}
	}
	config.Discovery = strings.TrimSuffix(strings.TrimPrefix(config.Discovery, "http://"), "/")
	return config, config.validate()
}

func (c Config) validate() error {
	switch {
	case c.Listen == "":
		return errors.New("configuration: listen is missing")
	case c.Discovery == "":
		return errors.New("configuration: discovery is missing")
	case len(c.Settings) == 0:
		return errors.New("configuration: settings are missing")
	case c.Limits.MemoryMB < 0 || c.Limits.Sockets < 0:
		return fmt.Errorf("configuration: limits must not be negative: memory_mb %d, sockets %d",
			c.Limits.MemoryMB, c.Limits.Sockets)
	}
	return scheduler.FlattenSettings(c.Settings).Validate()
}

// randomSeed returns the seed of the scheduler's random decisions.
func (c Config) randomSeed() uint64 {
	if n, err := strconv.ParseUint(c.Seed, 16, 64); err == nil {
		return n
	}
	return xxhash.Sum64String(c.Seed)
}

// How descriptors are divided, and what holds where the limits say nothing.
const (
	reservedSockets  = 24       // for the listener, discovery, peers and the process itself
	clientShare      = 0.55     // of the other descriptors, for client connections
	attemptShare     = 0.35     // of the other descriptors, for attempts
	releaseShare     = 0.08     // of the other descriptors, for release calls
	defaultSockets   = 1024     // where the limits state none
	defaultMemoryMiB = 192      // where the limits state none
	unknownFileBytes = 20 << 20 // of the program and its libraries, where the system does not tell
)

// divideMemory divides the memory limit.
func (c Config) divideMemory() (memory.Division, error) {
	files := system.MappedFileBytes()
	if files == 0 {
		files = unknownFileBytes
	}
	return memory.Divide(int64(cmp.Or(c.Limits.MemoryMB, defaultMemoryMiB))<<20, files)
}

// resources is what the limit on descriptors leaves to each use.
type resources struct {
	clients, attempts int // connections
	releases          int // concurrent release calls
}

func (c Config) resources() resources {
	sockets := cmp.Or(c.Limits.Sockets, defaultSockets)
	// Each use gets a few descriptors however low the limit is, so that the dispatcher still works.
	free := max(sockets-reservedSockets, 16)
	share := func(part float64, least int) int { return max(int(part*float64(free)), least) }
	return resources{
		clients: share(clientShare, 8), attempts: share(attemptShare, 4), releases: share(releaseShare, 2),
	}
}
