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
type DialerResult struct {
	Fault     string  `json:"fault"`
	Addresses int     `json:"addresses"`
	Dialer    string  `json:"dialler"`
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	NotSent   int     `json:"unreached"` // proven not sent
	Lost      int     `json:"lost"`      // sent, and nothing came: may have run
	Attempts  int     `json:"trips"`
}

// tripTime is how long a trip may take here, and dialTime a connection.
const (
	attemptTimeout = time.Second
	dialTimeout    = 250 * time.Millisecond
)

// dialler sends one trip; sent tells whether it may have run.
type sendFunc func(ctx context.Context, r func() (*http.Request, error)) (sent bool, err error)

// Ways measures times to the first token while the first address of a box goes wrong, with one address and with three: by
// internal/reach, by trying one address after the other, and by Go's own transport to the first address. Half of the trips
// come while the fault is on.
func CompareDialers(ctx context.Context, trips int, say func(string, ...any)) ([]DialerResult, error) {
	var out []DialerResult
	for _, fault := range []string{standin.EndpointServes, standin.EndpointRefuses, standin.EndpointBlackhole, standin.EndpointStalls, standin.EndpointStallsAfterResponse, standin.EndpointSlow, standin.EndpointResets, standin.EndpointFlaps} {
		for _, n := range []int{1, 3} {
			for _, who := range []string{"raced", "sequential", "plain"} {
				w, err := measureDialer(ctx, fault, n, who, trips)
				if err != nil {
					return out, err
				}
				out = append(out, w)
				say("%-11s %d addresses  %-10s  p50 %7.2f ms  p99 %7.2f ms  unreached %3d  lost %3d  of %d", faultName(fault), n, who, w.P50, w.P99, w.NotSent, w.Lost, w.Attempts)
				if ctx.Err() != nil {
					return out, ctx.Err()
				}
			}
		}
	}
	return out, nil
}

func faultName(fault string) string {
	if fault == "" {
		return "none"
	}
	return fault
}

func measureDialer(ctx context.Context, fault string, n int, who string, trips int) (w DialerResult, err error) {
	w = DialerResult{Fault: faultName(fault), Addresses: n, Dialer: who, Attempts: trips}
	book, err := record.Open("", record.Header{})
	if err != nil {
		return w, err
	}
	terms := setup.DefaultDeployment()
	terms.Classes = []setup.Class{{Name: "g", Effect: "idempotent"}}
	fleet := standin.NewFleet(terms, book, standin.Links{SameRack: 1e9, CrossRack: 1e9, ZoneFactor: 1}, map[string]standin.ClassProfile{"g": {NewTokens: 1, AnswerTokens: 1}})
	defer fleet.Close()
	dir, err := os.MkdirTemp("", "slt")
	if err != nil {
		return w, err
	}
	defer os.RemoveAll(dir)
	var at []addresses.Spec
	for _, network := range []string{addresses.TCP6, addresses.TCP4, addresses.Unix}[:n] {
		s := addresses.Spec{Network: network, Addr: filepath.Join(dir, "w")}
		if network != addresses.Unix {
			l, err := net.Listen(network, map[string]string{addresses.TCP6: "[::1]:0", addresses.TCP4: "127.0.0.1:0"}[network])
			if err != nil {
				return w, err
			}
			s.Addr = l.Addr().String()
			l.Close()
		}
		s.Preference = len(at) // the one that goes wrong comes first for all of them
		at = append(at, s)
	}
	b := fleet.NewBackend(standin.Config{Name: "w1", Kind: "writer", Addresses: at, Engine: standin.InstantEngine})
	if err := b.Boot(false); err != nil {
		return w, err
	}
	defer b.Kill("end")
	life, end := context.WithCancel(ctx)
	group := &errgroup.Group{}
	defer group.Wait()
	defer end()
	var send sendFunc
	switch who {
	case "raced":
		boxes := &reach.Manager{DialTimeout: dialTimeout, MaxConnsPerBackend: 64, Now: book.Elapsed, Context: life, Group: group}
		group.Go(boxes.Run)
		send = sendByPool(boxes.SetAddresses("w1", at, 1))
	case "sequential":
		send = sendByTransport(&http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			var errs []error
			for _, s := range at {
				d := net.Dialer{Timeout: dialTimeout}
				c, err := d.DialContext(ctx, s.Network, s.Addr)
				if err == nil {
					return c, nil
				}
				errs = append(errs, err)
			}
			return nil, errors.Join(errs...)
		}})
	default:
		send = sendByTransport(&http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, at[0].Network, at[0].Addr)
		}})
	}
	h := hdrhistogram.New(1, 60_000_000, 3)
	var question atomic.Uint64
	for i := range trips {
		switch i {
		case trips / 4:
			if err := b.Endpoint(0).SetMode(fault, 50*time.Millisecond, 600); err != nil {
				return w, err
			}
		case trips * 3 / 4:
			if err := b.Endpoint(0).SetMode(standin.EndpointServes, 0, 0); err != nil {
				return w, err
			}
		}
		time.Sleep(10 * time.Millisecond)
		tctx, cancel := context.WithTimeout(ctx, attemptTimeout)
		e := kserve.AttemptParams{Phase: kserve.PhaseCombined, DispatcherEpoch: "d.1", RequestNumber: question.Add(1), Class: "g", PromptTokens: 10, MaxTokens: 1}
		began := time.Now()
		sent, err := send(tctx, func() (*http.Request, error) {
			return kserve.NewAttemptRequest(tctx, reach.URL("w1"), terms.Model, "", e)
		})
		took := time.Since(began)
		cancel()
		switch {
		case err == nil:
			h.RecordValue(max(took.Microseconds(), 1))
		case sent:
			w.Lost++
		default:
			w.NotSent++
		}
	}
	w.P50, w.P99 = float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000
	return w, nil
}

func sendByPool(host *reach.Pool) sendFunc {
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
			conn.ReportFailed()
			return conn.Sent(), err
		}
		conn.ReportServed()
		return true, nil
	}
}

func sendByTransport(t *http.Transport) sendFunc {
	client := &http.Client{Transport: t}
	return func(ctx context.Context, r func() (*http.Request, error)) (bool, error) {
		req, err := r()
		if err != nil {
			return false, err
		}
		resp, err := client.Do(req)
		if err != nil {
			return !kserve.IsDialError(err), err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return true, fmt.Errorf("%s", resp.Status)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return true, err
	}
}
