package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/reach"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
	"sloetrestle/internal/standin"
)

// Way is how one diallers' trips went under one fault.
type Way struct {
	Fault     string  `json:"fault"`
	Addresses int     `json:"addresses"`
	Dialler   string  `json:"dialler"`
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	Unreached int     `json:"unreached"` // proven not sent
	Lost      int     `json:"lost"`      // sent, and nothing came: may have run
	Trips     int     `json:"trips"`
}

// tripTime is how long a trip may take here, and dialTime a connection.
const (
	tripTime = time.Second
	dialTime = 250 * time.Millisecond
)

// dialler sends one trip; sent tells whether it may have run.
type dialler func(ctx context.Context, r func() (*http.Request, error)) (sent bool, err error)

// Ways measures times to the first token while the first address of a box goes wrong, with one address and with three: by
// internal/reach, by trying one address after the other, and by Go's own transport to the first address. Half of the trips
// come while the fault is on.
func Ways(ctx context.Context, trips int, say func(string, ...any)) ([]Way, error) {
	var out []Way
	for _, fault := range []string{standin.GateServes, standin.GateRefuses, standin.GateBlackhole, standin.GateStalls, standin.GateStallsNext, standin.GateSlow, standin.GateResets, standin.GateFlaps} {
		for _, n := range []int{1, 3} {
			for _, who := range []string{"raced", "sequential", "plain"} {
				w, err := way(ctx, fault, n, who, trips)
				if err != nil {
					return out, err
				}
				out = append(out, w)
				say("%-11s %d addresses  %-10s  p50 %7.2f ms  p99 %7.2f ms  unreached %3d  lost %3d  of %d", orNone(fault), n, who, w.P50, w.P99, w.Unreached, w.Lost, w.Trips)
				if ctx.Err() != nil {
					return out, ctx.Err()
				}
			}
		}
	}
	return out, nil
}

func orNone(fault string) string {
	if fault == "" {
		return "none"
	}
	return fault
}

func way(ctx context.Context, fault string, n int, who string, trips int) (w Way, err error) {
	w = Way{Fault: orNone(fault), Addresses: n, Dialler: who, Trips: trips}
	book, err := record.Open("", record.Header{})
	if err != nil {
		return w, err
	}
	terms := setup.DefaultTerms()
	terms.Grades = []setup.Grade{{Name: "g", Effect: "idempotent"}}
	fleet := standin.NewFleet(terms, book, standin.Links{Near: 1e9, Far: 1e9, Zone: 1}, map[string]standin.Talk{"g": {New: 1, Answer: 1}})
	defer fleet.Close()
	dir, err := os.MkdirTemp("", "slt")
	if err != nil {
		return w, err
	}
	defer os.RemoveAll(dir)
	var at []addresses.Spec
	for _, network := range []string{addresses.TCP6, addresses.TCP4, addresses.Unix}[:n] {
		s := addresses.Spec{Network: network, At: filepath.Join(dir, "w")}
		if network != addresses.Unix {
			l, err := net.Listen(network, map[string]string{addresses.TCP6: "[::1]:0", addresses.TCP4: "127.0.0.1:0"}[network])
			if err != nil {
				return w, err
			}
			s.At = l.Addr().String()
			l.Close()
		}
		s.Prefer = len(at) // the one that goes wrong comes first for all of them
		at = append(at, s)
	}
	b := fleet.NewBox(standin.Make{Name: "w1", Kind: "writer", Addresses: at, Engine: standin.Instant})
	if err := b.Boot(false); err != nil {
		return w, err
	}
	defer b.Kill("end")
	life, end := context.WithCancel(ctx)
	group := &errgroup.Group{}
	defer group.Wait()
	defer end()
	var send dialler
	switch who {
	case "raced":
		boxes := &reach.Boxes{Limit: dialTime, Most: 64, Since: book.Elapsed, Life: life, Group: group}
		group.Go(boxes.Tend)
		send = raced(boxes.Set("w1", at, 1))
	case "sequential":
		send = over(&http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			var errs []error
			for _, s := range at {
				d := net.Dialer{Timeout: dialTime}
				c, err := d.DialContext(ctx, s.Network, s.At)
				if err == nil {
					return c, nil
				}
				errs = append(errs, err)
			}
			return nil, errors.Join(errs...)
		}})
	default:
		send = over(&http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, at[0].Network, at[0].At)
		}})
	}
	h := hdrhistogram.New(1, 60_000_000, 3)
	var question atomic.Uint64
	for i := range trips {
		switch i {
		case trips / 4:
			if err := b.Gate(0).Set(fault, 50*time.Millisecond, 600); err != nil {
				return w, err
			}
		case trips * 3 / 4:
			if err := b.Gate(0).Set(standin.GateServes, 0, 0); err != nil {
				return w, err
			}
		}
		time.Sleep(10 * time.Millisecond)
		tctx, cancel := context.WithTimeout(ctx, tripTime)
		e := kserve.Errand{Stage: kserve.StageWhole, From: "d.1", Question: question.Add(1), Grade: "g", Tokens: 10, Most: 1}
		began := time.Now()
		sent, err := send(tctx, func() (*http.Request, error) { return kserve.NewErrand(tctx, reach.URL("w1"), terms.Model, "", e) })
		took := time.Since(began)
		cancel()
		switch {
		case err == nil:
			h.RecordValue(max(took.Microseconds(), 1))
		case sent:
			w.Lost++
		default:
			w.Unreached++
		}
	}
	w.P50, w.P99 = float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000
	return w, nil
}

func raced(host *reach.Host) dialler {
	return func(ctx context.Context, r func() (*http.Request, error)) (bool, error) {
		conn, resp, err := host.Send(ctx, r)
		if conn == nil {
			return false, err
		}
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		if err != nil {
			conn.Lost()
			return conn.Sent(), err
		}
		conn.Served()
		return true, nil
	}
}

func over(t *http.Transport) dialler {
	client := &http.Client{Transport: t}
	return func(ctx context.Context, r func() (*http.Request, error)) (bool, error) {
		req, err := r()
		if err != nil {
			return false, err
		}
		resp, err := client.Do(req)
		if err != nil {
			return !kserve.Unsent(err), err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return true, fmt.Errorf("%s", resp.Status)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return true, err
	}
}
