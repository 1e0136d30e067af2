package kit

import (
	"encoding/json"
	"time"

	"sloetrestle/internal/testbackends"
)

// Heartbeats has an agent of service discovery send an empty line every 2 s, as the protocol's page asks, until stop is
// closed.
func Heartbeats(agent *testbackends.Agent, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Second):
			agent.WriteRaw(testbackends.EncodeChunk("\n"))
		}
	}
}

// PlatformSettings returns the settings of a small deployment of the platform: two classes with deadlines of 6 and 4 s.
func PlatformSettings() map[string]any {
	var settings map[string]any
	Must(json.Unmarshal([]byte(testbackends.Settings), &settings))
	return settings
}
