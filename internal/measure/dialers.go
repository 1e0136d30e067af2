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
	"sloetrestle/internal/connpool"
	"sloetrestle/internal/fakes"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
)

// DialerResult holds the results of one dialer under one fault.
type DialerResult struct {
	Fault     string  `json:"fault"`
	Addresses int     `json:"addresses"` // of the backend
	Dialer    string  `json:"dialler"`
	P50       float64 `json:"p50_ms"`    // to the end of the response
	P99       float64 `json:"p99_ms"`    // to the end of the response
	NotSent   int     `json:"unreached"` // failed before the request was sent
	Lost      int     `json:"lost"`      // failed after the request was sent: it may have been executed
	Attempts  int     `json:"trips"`
}

const (
	attemptTimeout = time.Second
	dialTimeout    = 250 * time.Millisecond // for one address
)

// sendFunc sends the request that newRequest makes and reads the response. sent reports whether the request may have
// been executed.
type sendFunc func(ctx context.Context, newRequest func() (*http.Request, error)) (sent bool, err error)

// CompareDialers measures latencies while the first address of a backend fails in different ways, with one address
// and with three. It compares the connection pool, which races the addresses, with a dialer that tries one address
// after the other and with Go's own transport on the first address alone. The fault is present during the middle half
// of the attempts.
func CompareDialers(ctx context.Context, attempts int, logf func(string, ...any)) ([]DialerResult, error) {
	var results []DialerResult
	for _, fault := range []string{
		fakes.EndpointServes, fakes.EndpointRefuses, fakes.EndpointBlackhole, fakes.EndpointStalls,
		fakes.EndpointStallsAfterResponse,
		fakes.EndpointSlow, fakes.EndpointResets, fakes.EndpointFlaps,
	} {
		for _, addressCount := range []int{1, 3} {
			for _, dialer := range []string{"raced", "sequential", "plain"} {
				result, err := measureDialer(ctx, fault, addressCount, dialer, attempts)
				if err != nil {
					return results, err
				}
				results = append(results, result)
				logf("%-11s %d addresses  %-10s  p50 %7.2f ms  p99 %7.2f ms  unreached %3d  lost %3d  of %d", faultName(fault),
					addressCount, dialer, result.P50, result.P99, result.NotSent, result.Lost, result.Attempts)
				if ctx.Err() != nil {
					return results, ctx.Err()
				}
			}
		}
	}
	return results, nil
}

func faultName(fault string) string {
	if fault == "" {
		return "none"
	}
	return fault
}

// measureDialer sends attempts one after the other to a new backend with addressCount addresses, the first of which
// is faulty from the end of the first quarter of the attempts to the end of the third.
func measureDialer(
	ctx context.Context, fault string, addressCount int, dialer string, attempts int,
) (result DialerResult, err error) {
	result = DialerResult{Fault: faultName(fault), Addresses: addressCount, Dialer: dialer, Attempts: attempts}
	recorder, err := record.Open("", record.Header{})
	if err != nil {
		return result, err
	}
	terms := setup.DefaultDeployment()
	terms.Classes = []setup.Class{{Name: "g", Effect: "idempotent"}}
	fleet := fakes.NewFleet(terms, recorder, fakes.Links{SameRack: 1e9, CrossRack: 1e9, ZoneFactor: 1},
		map[string]fakes.ClassProfile{"g": {NewTokens: 1, AnswerTokens: 1}})
	defer fleet.Close()
	dir, err := os.MkdirTemp("", "slt")
	if err != nil {
		return result, err
	}
	defer os.RemoveAll(dir)
	var specs []addresses.Spec
	for _, network := range []string{addresses.TCP6, addresses.TCP4, addresses.Unix}[:addressCount] {
		spec := addresses.Spec{Network: network, Addr: filepath.Join(dir, "w")}
		if network != addresses.Unix {
			listener, err := net.Listen(network, map[string]string{
				addresses.TCP6: "[::1]:0", addresses.TCP4: "127.0.0.1:0",
			}[network])
			if err != nil {
				return result, err
			}
			spec.Addr = listener.Addr().String()
			listener.Close()
		}
		spec.Preference = len(specs) // every dialer tries the faulty address first
		specs = append(specs, spec)
	}
	backend := fleet.NewBackend(fakes.Config{Name: "w1", Kind: "writer", Addresses: specs,
		Engine: fakes.InstantEngine})
	if err := backend.Boot(false); err != nil {
		return result, err
	}
	defer backend.Kill("end")
	poolCtx, stopPool := context.WithCancel(ctx)
	group := &errgroup.Group{}
	defer group.Wait()
	defer stopPool()
	var send sendFunc
	switch dialer {
	case "raced":
		pools := &connpool.Manager{
			DialTimeout: dialTimeout, MaxConnsPerBackend: 64, Now: recorder.Elapsed, Context: poolCtx, Group: group,
		}
		group.Go(pools.Run)
		send = sendByPool(pools.SetAddresses("w1", specs, 1))
	case "sequential":
		send = sendByTransport(&http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			var errs []error
			for _, spec := range specs {
				netDialer := net.Dialer{Timeout: dialTimeout}
				conn, err := netDialer.DialContext(ctx, spec.Network, spec.Addr)
				if err == nil {
					return conn, nil
				}
				errs = append(errs, err)
			}
			return nil, errors.Join(errs...)
		}})
	default:
		send = sendByTransport(&http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, specs[0].Network, specs[0].Addr)
		}})
	}
	latencies := hdrhistogram.New(1, 60_000_000, 3) // µs
	var lastRequest atomic.Uint64
	for i := range attempts {
		switch i {
		case attempts / 4:
			if err := backend.Endpoint(0).SetMode(fault, 50*time.Millisecond, 600); err != nil {
				return result, err
			}
		case attempts * 3 / 4:
			if err := backend.Endpoint(0).SetMode(fakes.EndpointServes, 0, 0); err != nil {
				return result, err
			}
		}
		time.Sleep(10 * time.Millisecond)
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		attempt := kserve.AttemptParams{
			Phase: kserve.PhaseCombined, DispatcherEpoch: "d.1", RequestNumber: lastRequest.Add(1), Class: "g",
			PromptTokens: 10, MaxTokens: 1,
		}
		start := time.Now()
		sent, err := send(attemptCtx, func() (*http.Request, error) {
			return kserve.NewAttemptRequest(attemptCtx, connpool.URL("w1"), terms.Model, "", attempt)
		})
		elapsed := time.Since(start)
		cancel()
		switch {
		case err == nil:
			latencies.RecordValue(max(elapsed.Microseconds(), 1))
		case sent:
			result.Lost++
		default:
			result.NotSent++
		}
	}
	result.P50, result.P99 = float64(latencies.ValueAtQuantile(50))/1000, float64(latencies.ValueAtQuantile(99))/1000
	return result, nil
}

// sendByPool sends by the connection pool of a backend and reports each result to it.
func sendByPool(pool *connpool.Pool) sendFunc {
	return func(ctx context.Context, newRequest func() (*http.Request, error)) (bool, error) {
		conn, resp, err := pool.Send(ctx, newRequest)
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

// sendByTransport sends by Go's HTTP client over transport.
func sendByTransport(transport *http.Transport) sendFunc {
	client := &http.Client{Transport: transport}
	return func(ctx context.Context, newRequest func() (*http.Request, error)) (bool, error) {
		req, err := newRequest()
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
