package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"sloetrestle/scheduler"
)

// A configuration that is half written when its signal comes is read once it is complete, also during a graceful
// shutdown.
func TestHalfWrittenConfigurationIsReadOnceComplete(t *testing.T) {
	for _, stopping := range []bool{false, true} {
		t.Run(fmt.Sprintf("stopping %t", stopping), func(t *testing.T) {
			cluster := startCluster(t, nil)
			other := cluster.site.AddAgent()
			config := cluster.node.config
			config.Discovery = other.Address
			raw, err := json.Marshal(config)
			if err != nil {
				t.Fatal(err)
			}
			file := t.TempDir() + "/config.json"
			write := func(raw []byte) {
				if err := os.WriteFile(file, raw, 0o600); err != nil {
					t.Error(err)
				}
			}
			write(raw[:len(raw)/2])
			cluster.setLoad(func() (Config, error) { return Load(file, os.Getenv) })
			if stopping {
				received := cluster.holdPrefills()
				io.WriteString(cluster.dial(), cluster.request("trail-info"))
				<-received
				cluster.quit()
			}
			cluster.reloads <- syscall.SIGHUP
			time.Sleep(100 * time.Millisecond)
			write(raw)
			cluster.await("discovery is watched at its new address", func() bool { return other.WatchCount() == 1 })
		})
	}
}

// A reload moves discovery to the new address. A configuration file that is absent or incomplete changes nothing, and
// no request notices.
func TestConfigurationIsReloaded(t *testing.T) {
	cluster := startCluster(t, nil)
	other := cluster.site.AddAgent()
	cluster.setLoad(func() (Config, error) { return Load(t.TempDir()+"/absent.json", os.Getenv) })
	cluster.reloads <- syscall.SIGHUP
	incomplete := t.TempDir() + "/torn.json"
	if err := os.WriteFile(incomplete, []byte(`{"name":"n1","listen`), 0o600); err != nil {
		t.Fatal(err)
	}
	cluster.await("the reload of the absent file began", func() bool { return len(cluster.reloads) == 0 })
	cluster.setLoad(func() (Config, error) { return Load(incomplete, os.Getenv) })
	cluster.reloads <- syscall.SIGHUP
	if got := cluster.send(cluster.request("hut-booking")); got.status != 200 || other.WatchCount() != 0 {
		t.Errorf("%+v, %d watches at the new address", got, other.WatchCount())
	}
	cluster.await("the reload of the incomplete file began", func() bool { return len(cluster.reloads) == 0 })
	config := cluster.node.config
	config.Discovery = other.Address
	raw, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	complete := t.TempDir() + "/whole.json"
	if err := os.WriteFile(complete, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	cluster.setLoad(func() (Config, error) { return Load(complete, os.Getenv) })
	cluster.reloads <- syscall.SIGHUP
	cluster.await("discovery is watched only at its new address", func() bool {
		return other.WatchCount() == 1 && cluster.agent.WatchCount() == 0
	})
	cluster.site.UpdateDiscovery(func() { cluster.prefill.State = "terminating" })
	cluster.await("the drain is known", func() bool {
		state := scheduler.Ready
		cluster.node.loop.Call(context.Background(), func() { state = cluster.node.loop.SchedulerBackend("r1").State })
		return state == scheduler.Draining
	})
}
