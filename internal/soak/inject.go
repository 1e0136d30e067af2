package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"sloetrestle/internal/system"
)

// Errors that the shims have calls fail with.
var (
	acceptErrors = []syscall.Errno{syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS, syscall.EPROTO, syscall.ENETUNREACH, syscall.EINTR}
	dialErrors   = []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.EHOSTUNREACH}
	wallSteps    = []time.Duration{-time.Hour, -7 * time.Second, 7 * time.Second, time.Hour}
)

const (
	massRestartTime  = 7 * time.Second // in which most backends are replaced
	massRestartShare = 0.6
	massDrainShare   = 0.25
	roleMuteShare    = 0.8
)

// cause has a fault happen.
func (r *run) inject(ctx context.Context, f Fault) {
	d := r.dispatchers[f.Target%len(r.dispatchers)]
	b := r.cluster.backends[f.Target%len(r.cluster.backends)]
	agent := r.discovery.agents[d.number]
	until := r.record.now() + f.Length
	switch f.Kind {
	case Terminate, TerminateTwice, TerminateReload:
		d.terminate(ctx, f)
	case KillProcess:
		d.crash(ctx)
	case Stop:
		d.suspend(ctx, f.Length)
	case Reload, ReloadTorn, ReloadTwice, ReloadBurst:
		d.reload(ctx, f)
	case WallStep:
		d.sendOrder(Order{WallStep: wallSteps[f.Draw%uint64(len(wallSteps))]})
	case AcceptFails:
		d.sendOrder(Order{Accept: acceptErrors[f.Draw%uint64(len(acceptErrors))], For: f.Length})
	case DialFails:
		d.mu.Lock()
		l := d.process
		d.mu.Unlock()
		r.record.with(func() { l.dialOutages = append(l.dialOutages, span{r.record.now(), until}) })
		d.sendOrder(Order{Dial: dialErrors[f.Draw%uint64(len(dialErrors))], For: f.Length})
	case ShortReads:
		d.sendOrder(Order{ShortReads: true, For: f.Length})
	case BackendRestarts:
		b.restart()
		r.discovery.change(b, "in_service")
	case Drain:
		r.discovery.change(b, "terminating")
		if system.Sleep(ctx, f.Length) {
			r.discovery.change(b, "in_service")
		}
	case MassRestart:
		r.restartMany(ctx, f)
	case MassDrain:
		r.drainMany(ctx, f)
	case RoleMute:
		r.muteRole(f, until)
	case BackendSilent:
		b.isolate(ctx, f.Length, f.Draw)
	case DiscoverySilent:
		agent.silenceUntil(until)
	case DiscoverySlow:
		agent.slowDownUntil(until)
	case DiscoveryResets:
		agent.reset()
	default:
		b.injectFault(f.Kind, until, f.Draw)
	}
}

// drawn are so large a share of the backends, as a fault's draw has it.
func (r *run) drawBackends(f Fault, share float64) []*backend {
	rng := rand.New(rand.NewPCG(f.Draw, 0))
	var chosen []*backend
	for _, b := range r.cluster.backends {
		if rng.Float64() < share {
			chosen = append(chosen, b)
		}
	}
	return chosen
}

// restartMost has most backends be replaced one by one.
func (r *run) restartMany(ctx context.Context, f Fault) {
	chosen := r.drawBackends(f, massRestartShare)
	for _, b := range chosen {
		if !system.Sleep(ctx, massRestartTime/time.Duration(len(chosen))) {
			return
		}
		b.restart()
		r.discovery.change(b, "in_service")
	}
}

// drainMany has many backends drain at once, and come back.
func (r *run) drainMany(ctx context.Context, f Fault) {
	chosen := r.drawBackends(f, massDrainShare)
	for _, b := range chosen {
		r.discovery.change(b, "terminating")
	}
	if !system.Sleep(ctx, f.Length) {
		return
	}
	for _, b := range chosen {
		r.discovery.change(b, "in_service")
	}
}

// muteRole has four in five backends of one role fall silent together, but never all.
func (r *run) muteRole(f Fault, until time.Duration) {
	prefill := f.Target%2 == 0
	var role []*backend
	for _, b := range r.cluster.backends {
		if b.prefill == prefill {
			role = append(role, b)
		}
	}
	mute := min(int(roleMuteShare*float64(len(role))+0.5), len(role)-1)
	first := int(f.Draw % uint64(len(role)))
	for i := range mute {
		role[(first+i)%len(role)].injectFault(BackendMute, until, 0)
	}
}
