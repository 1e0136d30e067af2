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
	Service  setup.Terms
	Instance setup.Place
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
			kserve.WriteFault(w, &kserve.Fault{Status: http.StatusNotFound, Field: "model", Text: fmt.Sprintf("%q is unknown", m)})
			return
		}
		if v := r.PathValue("version"); v != "" && v != "1" {
			kserve.WriteFault(w, &kserve.Fault{Status: http.StatusNotFound, Field: "version", Text: fmt.Sprintf("%q is unknown", v)})
			return
		}
		next(w, r)
	}
}

// take reads a request and hands it to the loop. Where none could be taken the client has its answer already.
func (s *Server) take(w http.ResponseWriter, r *http.Request, inference bool) *ClientRequest {
	came := time.Now()
	ctl := http.NewResponseController(w)
	ctl.SetReadDeadline(came.Add(s.Instance.BodyTime.D()))
	body := http.MaxBytesReader(w, r.Body, s.Instance.Body)
	read := kserve.ReadPrompt
	if inference {
		read = kserve.ReadInference
	}
	ask, err := read(body)
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) || strings.Contains(err.Error(), "i/o timeout") {
			err = &kserve.Fault{Status: http.StatusRequestTimeout, Text: fmt.Sprintf("the body did not arrive within %v", s.Instance.BodyTime.D())}
		}
		kserve.WriteFault(w, err)
		return nil
	}
	ctl.SetReadDeadline(time.Time{})
	grade, channel := 0, 0
	if ask.Grade != "" {
		if grade = s.Service.GradeNumber(ask.Grade); grade < 0 {
			kserve.WriteFault(w, &kserve.Fault{Status: http.StatusBadRequest, Field: "parameters.grade", Text: fmt.Sprintf("%q is unknown", ask.Grade)})
			return nil
		}
	}
	if ask.Channel != "" {
		if channel = s.Service.ChannelNumber(ask.Channel); channel < 0 {
			kserve.WriteFault(w, &kserve.Fault{Status: http.StatusBadRequest, Field: "parameters.channel", Text: fmt.Sprintf("%q is unknown", ask.Channel)})
			return nil
		}
	}
	g := s.Service.Grades[grade]
	if ask.Tokens == 0 {
		ask.Tokens = max(begins.EstimateTokens(ask.Text), 1)
	}
	ask.Prefix = min(ask.Prefix, ask.Tokens)
	if ask.Most == 0 {
		ask.Most = g.Most
	}
	if ask.Left == 0 {
		ask.Left = g.Expiry.D() + 2*time.Duration(float64(ask.Tokens)/1000*float64(g.PerK))
	}
	if s.stopping.Load() {
		kserve.WriteFinal(w, kserve.Final{Final: kserve.Declined, Error: "this dispatcher is stopping", Harmless: true, AfterMs: 1})
		return nil
	}
	if s.open.Add(1) > int64(s.Service.Limits.Open) {
		s.open.Add(-1)
		kserve.WriteFinal(w, kserve.Final{Final: kserve.Declined, Error: "as many questions are open as this dispatcher takes",
			Harmless: true, AfterMs: s.Service.Limits.RetryAfter.D().Milliseconds()})
		return nil
	}
	if ask.Channel == "" && len(s.Service.Channels) > 0 {
		ask.Channel = s.Service.Channels[0].Name
	}
	a := &ClientRequest{Params: ask, Class: g.Name, Tenant: ask.Channel}
	took := s.Loop.Call(context.WithoutCancel(r.Context()), func() {
		if ask.Shared == "" && ask.Text != "" {
			if key, n := s.begins.SharedPrefix(s.Loop.now, HashName(ask.Session), ask.Text); key != 0 {
				a.Params.Shared, a.Params.Prefix = fmt.Sprintf("text-%x", key), min(n, a.Params.Tokens)
			}
		}
		s.Loop.Submit(a, grade, channel, ask.Left-time.Since(came)-s.Instance.Margin.D())
	})
	if !took {
		s.open.Add(-1)
		kserve.WriteFinal(w, kserve.Final{Final: kserve.Declined, Error: "this dispatcher has stopped", Harmless: true, AfterMs: 1})
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
		kserve.WriteFinal(w, f)
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
		ctl.SetWriteDeadline(time.Now().Add(s.Instance.Write.D()))
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
			kserve.WriteRaw(&out, "", piece)
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
		if f.Final != kserve.Satisfied {
			name = "error"
		}
		kserve.WriteEvent(&out, name, f)
		write()
	case <-r.Context().Done():
		s.left(a)
	}
}

// gather waits for the whole answer.
func (s *Server) gather(r *http.Request, a *ClientRequest) (text []byte, f kserve.Final, ok bool) {
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
				return nil, kserve.Final{Final: kserve.Forfeited, Error: "the answer is too long to be gathered; ask for a stream"}, true
			}
		}
	}
}

// whole answers with all of an answer at once, as write has it; any other end is a plain final answer.
func (s *Server) whole(w http.ResponseWriter, r *http.Request, inference bool, write func(a *ClientRequest, text []byte, f kserve.Final)) {
	a := s.take(w, r, inference)
	if a == nil {
		return
	}
	defer s.open.Add(-1)
	text, f, ok := s.gather(r, a)
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.Instance.Write.D()))
	switch {
	case !ok:
	case f.Final != kserve.Satisfied:
		kserve.WriteFinal(w, f)
	default:
		write(a, text, f)
	}
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	s.whole(w, r, false, func(a *ClientRequest, text []byte, f kserve.Final) {
		kserve.WriteJSON(w, http.StatusOK, map[string]any{"model_name": s.Service.Model, "id": a.Params.ID, "text_output": string(text), "final": f.Final, "trips": f.Trips})
	})
}

func (s *Server) infer(w http.ResponseWriter, r *http.Request) {
	s.whole(w, r, true, func(a *ClientRequest, text []byte, f kserve.Final) {
		data, err := json.Marshal([]string{string(text)})
		if err != nil {
			kserve.WriteFault(w, err)
			return
		}
		kserve.WriteJSON(w, http.StatusOK, kserve.Output{
			Model: s.Service.Model, Version: "1", ID: a.Params.ID, Parameters: kserve.Params{"final": f.Final, "trips": f.Trips},
			Outputs: []kserve.Tensor{{Name: "text_output", Shape: []int64{1}, Datatype: "BYTES", Data: data}},
		})
	})
}
