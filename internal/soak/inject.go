package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"sloetrestle/internal/system"
)

// Errors and clock steps that the shims inject.
var (
	acceptErrors = []syscall.Errno{
		syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS, syscall.EPROTO, syscall.ENETUNREACH, syscall.EINTR,
	}
	dialErrors = []syscall.Errno{
		syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.EHOSTUNREACH,
	}
	wallSteps = []time.Duration{-time.Hour, -7 * time.Second, 7 * time.Second, time.Hour}
)

const (
	massRestartTime  = 7 * time.Second // over which the restarts of a mass restart are spread
	massRestartShare = 0.6             // of all backends
	massDrainShare   = 0.25            // of all backends
	roleMuteShare    = 0.8             // of the backends of one role
)

// inject makes a fault happen.
func (r *run) inject(ctx context.Context, fault Fault) {
	d := r.dispatchers[fault.Target%len(r.dispatchers)]
	b := r.cluster.backends[fault.Target%len(r.cluster.backends)]
	agent := r.discovery.agents[d.number]
	until := r.record.now() + fault.Length
	switch fault.Kind {
	case Terminate, TerminateTwice, TerminateReload:
		d.terminate(ctx, fault)
	case KillProcess:
		d.crash(ctx)
	case Stop:
		d.suspend(ctx, fault.Length)
	case Reload, ReloadTorn, ReloadTwice, ReloadBurst:
		d.reload(ctx, fault)
	case WallStep:
		d.sendOrder(Order{WallStep: wallSteps[fault.Draw%uint64(len(wallSteps))]})
	case AcceptFails:
		d.sendOrder(Order{Accept: acceptErrors[fault.Draw%uint64(len(acceptErrors))], For: fault.Length})
	case DialFails:
		d.mu.Lock()
		current := d.process
		d.mu.Unlock()
		r.record.with(func() { current.dialOutages = append(current.dialOutages, span{r.record.now(), until}) })
		d.sendOrder(Order{Dial: dialErrors[fault.Draw%uint64(len(dialErrors))], For: fault.Length})
	case ShortReads:
		d.sendOrder(Order{ShortReads: true, For: fault.Length})
	case BackendRestarts:
		b.restart()
		r.discovery.change(b, "in_service")
	case Drain:
		r.discovery.change(b, "terminating")
		if system.Sleep(ctx, fault.Length) {
			r.discovery.change(b, "in_service")
		}
	case MassRestart:
		r.restartMany(ctx, fault)
	case MassDrain:
		r.drainMany(ctx, fault)
	case RoleMute:
		r.muteRole(fault, until)
	case BackendSilent:
		b.isolate(ctx, fault.Length, fault.Draw)
	case DiscoverySilent:
		agent.silenceUntil(until)
	case DiscoverySlow:
		agent.slowDownUntil(until)
	case DiscoveryResets:
		agent.reset()
	default:
		b.injectFault(fault.Kind, until, fault.Draw)
	}
}

// drawBackends selects about the given share of the backends, determined by the fault's draw.
func (r *run) drawBackends(fault Fault, share float64) []*backend {
	rng := rand.New(rand.NewPCG(fault.Draw, 0))
	var selected []*backend
	for _, b := range r.cluster.backends {
		if rng.Float64() < share {
			selected = append(selected, b)
		}
	}
	return selected
}

// restartMany replaces six in ten backends one by one.
func (r *run) restartMany(ctx context.Context, fault Fault) {
	selected := r.drawBackends(fault, massRestartShare)
	for _, b := range selected {
		if !system.Sleep(ctx, massRestartTime/time.Duration(len(selected))) {
			return
		}
		b.restart()
		r.discovery.change(b, "in_service")
	}
}

// drainMany drains a quarter of the backends at once and returns them to service when the fault ends.
func (r *run) drainMany(ctx context.Context, fault Fault) {
	selected := r.drawBackends(fault, massDrainShare)
	for _, b := range selected {
		r.discovery.change(b, "terminating")
	}
	if !system.Sleep(ctx, fault.Length) {
		return
	}
	for _, b := range selected {
		r.discovery.change(b, "in_service")
	}
}

// muteRole makes four in five backends of one role fall silent together, but never all of them.
func (r *run) muteRole(fault Fault, until time.Duration) {
	prefill := fault.Target%2 == 0
	var role []*backend
	for _, b := range r.cluster.backends {
		if b.prefill == prefill {
			role = append(role, b)
		}
	}
	mute := min(int(roleMuteShare*float64(len(role))+0.5), len(role)-1)
	first := int(fault.Draw % uint64(len(role)))
	for i := range mute {
		role[(first+i)%len(role)].injectFault(BackendMute, until, 0)
	}
}
