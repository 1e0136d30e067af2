package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"sloetrestle/internal/begins"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/setup"
)

// Server speaks KServe v2 to clients.
type Server struct {
	Service  setup.Deployment
	Instance setup.Instance
	Loop     *Loop
	Log      *slog.Logger
	Status   func() map[string]any // what operators see

	open     atomic.Int64
	begins   begins.Table // the loop's
	stopping atomic.Bool
	Ready    func() bool
}

// answerMost bounds an answer that is gathered before it is sent.
const answerMost = 32 << 20

// Handler routes a client's requests.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v2", func(w http.ResponseWriter, r *http.Request) {
		kserve.WriteJSON(w, http.StatusOK, map[string]any{"name": "sloetrestle", "version": Version, "extensions": []string{"generate"}})
	})
	mux.HandleFunc("GET /v2/health/live", func(w http.ResponseWriter, r *http.Request) {})
	mux.HandleFunc("GET /v2/health/ready", s.ready)
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, r *http.Request) {
		kserve.WriteJSON(w, http.StatusOK, s.Status())
	})
	for _, at := range []string{"/v2/models/{model}", "/v2/models/{model}/versions/{version}"} {
		mux.HandleFunc("GET "+at, s.known(s.model))
		mux.HandleFunc("GET "+at+"/ready", s.known(s.ready))
		mux.HandleFunc("POST "+at+"/infer", s.known(s.infer))
		mux.HandleFunc("POST "+at+"/generate", s.known(s.generate))
		mux.HandleFunc("POST "+at+"/generate_stream", s.known(s.stream))
	}
	return mux
}

func (s *Server) ready(w http.ResponseWriter, r *http.Request) {
	if s.stopping.Load() || !s.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) model(w http.ResponseWriter, r *http.Request) {
	kserve.WriteJSON(w, http.StatusOK, map[string]any{
		"name": s.Service.Model, "versions": []string{"1"}, "platform": "sloetrestle",
		"inputs":  []map[string]any{{"name": "text_input", "datatype": "BYTES", "shape": []int{1}}},
		"outputs": []map[string]any{{"name": "text_output", "datatype": "BYTES", "shape": []int{1}}},
	})
}

// known lets only the one model through.
func (s *Server) known(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if m := r.PathValue("model"); m != s.Service.Model {
			kserve.WriteError(w, &kserve.RequestError{Status: http.StatusNotFound, Field: "model", Message: fmt.Sprintf("%q is unknown", m)})
			return
		}
		if v := r.PathValue("version"); v != "" && v != "1" {
			kserve.WriteError(w, &kserve.RequestError{Status: http.StatusNotFound, Field: "version", Message: fmt.Sprintf("%q is unknown", v)})
			return
		}
		next(w, r)
	}
}

// take reads a request and hands it to the loop. Where none could be taken the client has its answer already.
func (s *Server) take(w http.ResponseWriter, r *http.Request, inference bool) *ClientRequest {
	came := time.Now()
	ctl := http.NewResponseController(w)
	ctl.SetReadDeadline(came.Add(s.Instance.BodyTimeout.Std()))
	body := http.MaxBytesReader(w, r.Body, s.Instance.MaxBodyBytes)
	read := kserve.ReadGenerateRequest
	if inference {
		read = kserve.ReadInferRequest
	}
	ask, err := read(body)
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) || strings.Contains(err.Error(), "i/o timeout") {
			err = &kserve.RequestError{Status: http.StatusRequestTimeout, Message: fmt.Sprintf("the body did not arrive within %v", s.Instance.BodyTimeout.Std())}
		}
		kserve.WriteError(w, err)
		return nil
	}
	ctl.SetReadDeadline(time.Time{})
	grade, channel := 0, 0
	if ask.Class != "" {
		if grade = s.Service.ClassIndex(ask.Class); grade < 0 {
			kserve.WriteError(w, &kserve.RequestError{Status: http.StatusBadRequest, Field: "parameters.grade", Message: fmt.Sprintf("%q is unknown", ask.Class)})
			return nil
		}
	}
	if ask.Tenant != "" {
		if channel = s.Service.TenantIndex(ask.Tenant); channel < 0 {
			kserve.WriteError(w, &kserve.RequestError{Status: http.StatusBadRequest, Field: "parameters.channel", Message: fmt.Sprintf("%q is unknown", ask.Tenant)})
			return nil
		}
	}
	g := s.Service.Classes[grade]
	if ask.PromptTokens == 0 {
		ask.PromptTokens = max(begins.EstimateTokens(ask.Text), 1)
	}
	ask.PrefixTokens = min(ask.PrefixTokens, ask.PromptTokens)
	if ask.MaxTokens == 0 {
		ask.MaxTokens = g.DefaultMaxTokens
	}
	if ask.Timeout == 0 {
		ask.Timeout = g.Deadline.Std() + 2*time.Duration(float64(ask.PromptTokens)/1000*float64(g.TargetPer1000Tokens))
	}
	if s.stopping.Load() {
		kserve.WriteFinalResponse(w, kserve.FinalResponse{Outcome: kserve.Rejected, Error: "this dispatcher is stopping", SafeToRetry: true, RetryAfterMs: 1})
		return nil
	}
	if s.open.Add(1) > int64(s.Service.Limits.MaxOpenRequests) {
		s.open.Add(-1)
		kserve.WriteFinalResponse(w, kserve.FinalResponse{Outcome: kserve.Rejected, Error: "as many questions are open as this dispatcher takes",
			SafeToRetry: true, RetryAfterMs: s.Service.Limits.MaxRetryAfter.Std().Milliseconds()})
		return nil
	}
	if ask.Tenant == "" && len(s.Service.Tenants) > 0 {
		ask.Tenant = s.Service.Tenants[0].Name
	}
	a := &ClientRequest{Params: ask, Class: g.Name, Tenant: ask.Tenant}
	took := s.Loop.Call(context.WithoutCancel(r.Context()), func() {
		if ask.SharedPrefix == "" && ask.Text != "" {
			if key, n := s.begins.SharedPrefix(s.Loop.now, HashName(ask.Session), ask.Text); key != 0 {
				a.Params.SharedPrefix, a.Params.PrefixTokens = fmt.Sprintf("text-%x", key), min(n, a.Params.PromptTokens)
			}
		}
		s.Loop.Submit(a, grade, channel, ask.Timeout-time.Since(came)-s.Instance.ResponseMargin.Std())
	})
	if !took {
		s.open.Add(-1)
		kserve.WriteFinalResponse(w, kserve.FinalResponse{Outcome: kserve.Rejected, Error: "this dispatcher has stopped", SafeToRetry: true, RetryAfterMs: 1})
		return nil
	}
	return a
}

// left tells the loop that the client has gone.
func (s *Server) left(a *ClientRequest) { s.Loop.Post(func() { s.Loop.ClientDisconnected(a) }) }

// stream answers with server-sent events. Until the first token any answer is still a plain one, with its status.
func (s *Server) stream(w http.ResponseWriter, r *http.Request) {
	a := s.take(w, r, false)
	if a == nil {
		return
	}
	defer s.open.Add(-1)
	switch trip, f, ok := a.WaitStart(r.Context()); {
	case !ok:
		s.left(a)
	case trip == nil:
		kserve.WriteFinalResponse(w, f)
	default:
		s.pour(w, r, a, trip)
	}
}

// pour writes an attempt's stream to the client, then the final answer.
func (s *Server) pour(w http.ResponseWriter, r *http.Request, a *ClientRequest, trip *Attempt) {
	ctl := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	var out bytes.Buffer
	write := func() bool {
		ctl.SetWriteDeadline(time.Now().Add(s.Instance.WriteTimeout.Std()))
		if _, err := w.Write(out.Bytes()); err != nil {
			return false
		}
		out.Reset()
		return ctl.Flush() == nil
	}
	for more := true; more; {
		var piece []byte
		select {
		case piece, more = <-trip.Tokens:
		case <-r.Context().Done():
			s.left(a)
			return
		}
		for more {
			kserve.WriteRawEvent(&out, "", piece)
			if len(trip.Tokens) == 0 {
				break
			}
			piece, more = <-trip.Tokens
		}
		if out.Len() > 0 && !write() {
			s.left(a)
			return
		}
	}
	select {
	case f := <-a.final:
		name := "end"
		if f.Outcome != kserve.Served {
			name = "error"
		}
		kserve.WriteEvent(&out, name, f)
		write()
	case <-r.Context().Done():
		s.left(a)
	}
}

// gather waits for the whole answer.
func (s *Server) gather(r *http.Request, a *ClientRequest) (text []byte, f kserve.FinalResponse, ok bool) {
	trip, f, ok := a.WaitStart(r.Context())
	if !ok {
		s.left(a)
		return nil, f, false
	}
	if trip == nil {
		return nil, f, true
	}
	for {
		select {
		case <-r.Context().Done():
			s.left(a)
			return nil, f, false
		case piece, more := <-trip.Tokens:
			if !more {
				select {
				case f = <-a.final:
					return text, f, true
				case <-r.Context().Done():
					s.left(a)
					return nil, f, false
				}
			}
			var t kserve.Token
			if json.Unmarshal(piece, &t) == nil {
				text = append(text, t.Text...)
			}
			if len(text) > answerMost {
				s.left(a)
				return nil, kserve.FinalResponse{Outcome: kserve.Failed, Error: "the answer is too long to be gathered; ask for a stream"}, true
			}
		}
	}
}

// whole answers with all of an answer at once, as write has it; any other end is a plain final answer.
func (s *Server) whole(w http.ResponseWriter, r *http.Request, inference bool, write func(a *ClientRequest, text []byte, f kserve.FinalResponse)) {
	a := s.take(w, r, inference)
	if a == nil {
		return
	}
	defer s.open.Add(-1)
	text, f, ok := s.gather(r, a)
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.Instance.WriteTimeout.Std()))
	switch {
	case !ok:
	case f.Outcome != kserve.Served:
		kserve.WriteFinalResponse(w, f)
	default:
		write(a, text, f)
	}
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	s.whole(w, r, false, func(a *ClientRequest, text []byte, f kserve.FinalResponse) {
		kserve.WriteJSON(w, http.StatusOK, map[string]any{"model_name": s.Service.Model, "id": a.Params.ID, "text_output": string(text), "final": f.Outcome, "trips": f.Attempts})
	})
}

func (s *Server) infer(w http.ResponseWriter, r *http.Request) {
	s.whole(w, r, true, func(a *ClientRequest, text []byte, f kserve.FinalResponse) {
		data, err := json.Marshal([]string{string(text)})
		if err != nil {
			kserve.WriteError(w, err)
			return
		}
		kserve.WriteJSON(w, http.StatusOK, kserve.InferResponse{
			Model: s.Service.Model, Version: "1", ID: a.Params.ID, Parameters: kserve.Params{"final": f.Outcome, "trips": f.Attempts},
			Outputs: []kserve.Tensor{{Name: "text_output", Shape: []int64{1}, Datatype: "BYTES", Data: data}},
		})
	})
}
