package dispatch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"sloetrestle/internal/kserve"
	"sloetrestle/internal/prefixtable"
	"sloetrestle/internal/requestids"
	"sloetrestle/internal/setup"
)

// Server is the HTTP frontend that serves the KServe v2 protocol to clients.
type Server struct {
	Service  setup.Deployment
	Instance setup.Instance
	Loop     *Loop
	Log      *slog.Logger
	Status   func() map[string]any // the report to operators

	openRequests atomic.Int64
	ids          *requestids.Registry
	prefixes     prefixtable.Table // belongs to the loop
	stopping     atomic.Bool
	Ready        func() bool // whether the dispatcher can serve requests
}

// unrepeatableEffect is the effect, in the configuration, of classes whose requests must not run twice.
const unrepeatableEffect = "unrepeatable"

// maxBufferedAnswer bounds, in bytes, the text of an answer that is buffered before it is sent.
const maxBufferedAnswer = 32 << 20

// Handler returns the handler for the clients' addresses.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v2", func(w http.ResponseWriter, r *http.Request) {
		kserve.WriteJSON(w, http.StatusOK, map[string]any{
			"name": "sloetrestle", "version": Version, "extensions": []string{"generate"},
		})
	})
	mux.HandleFunc("GET /v2/health/live", func(w http.ResponseWriter, r *http.Request) {})
	mux.HandleFunc("GET /v2/health/ready", s.ready)
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, r *http.Request) {
		kserve.WriteJSON(w, http.StatusOK, s.Status())
	})
	for _, path := range []string{"/v2/models/{model}", "/v2/models/{model}/versions/{version}"} {
		mux.HandleFunc("GET "+path, s.checkModel(s.model))
		mux.HandleFunc("GET "+path+"/ready", s.checkModel(s.ready))
		mux.HandleFunc("POST "+path+"/infer", s.checkModel(s.infer))
		mux.HandleFunc("POST "+path+"/generate", s.checkModel(s.generate))
		mux.HandleFunc("POST "+path+"/generate_stream", s.checkModel(s.stream))
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

// checkModel calls next only for the model and the version that the dispatcher serves.
func (s *Server) checkModel(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if model := r.PathValue("model"); model != s.Service.Model {
			kserve.WriteError(w, &kserve.RequestError{
				Status: http.StatusNotFound, Field: "model", Message: fmt.Sprintf("%q is unknown", model),
			})
			return
		}
		if version := r.PathValue("version"); version != "" && version != "1" {
			kserve.WriteError(w, &kserve.RequestError{
				Status: http.StatusNotFound, Field: "version", Message: fmt.Sprintf("%q is unknown", version),
			})
			return
		}
		next(w, r)
	}
}

// disconnected tells the loop that the client has disconnected.
func (s *Server) disconnected(request *ClientRequest) {
	s.Loop.Post(func() { s.Loop.ClientDisconnected(request) })
}

// stream answers with server-sent events. A request that ends before its first token gets a plain answer with a status.
func (s *Server) stream(w http.ResponseWriter, r *http.Request) {
	request := s.submit(w, r, false)
	if request == nil {
		return
	}
	attempt, final, ok := request.WaitStart(r.Context())
	defer s.close(request, final)
	switch {
	case !ok:
		s.disconnected(request)
	case attempt == nil:
		kserve.WriteFinalResponse(w, final)
	default:
		s.writeStream(w, r, request, attempt)
	}
}

// writeStream writes an attempt's stream to the client, and then the final answer.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, request *ClientRequest, attempt *Attempt) {
	control := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	var out bytes.Buffer
	write := func() bool {
		control.SetWriteDeadline(time.Now().Add(s.Instance.WriteTimeout.Std()))
		if _, err := w.Write(out.Bytes()); err != nil {
			return false
		}
		out.Reset()
		return control.Flush() == nil
	}
	for more := true; more; {
		var piece []byte
		select {
		case piece, more = <-attempt.Tokens:
		case <-r.Context().Done():
			s.disconnected(request)
			return
		}
		for more {
			kserve.WriteRawEvent(&out, "", piece)
			if len(attempt.Tokens) == 0 {
				break
			}
			piece, more = <-attempt.Tokens
		}
		if out.Len() > 0 && !write() {
			s.disconnected(request)
			return
		}
	}
	select {
	case final := <-request.final:
		name := "end"
		if final.Outcome != kserve.Served {
			name = "error"
		}
		kserve.WriteEvent(&out, name, final)
		write()
	case <-r.Context().Done():
		s.disconnected(request)
	}
}

// bufferAnswer waits for the whole answer and returns its text. ok is false if the client has disconnected.
func (s *Server) bufferAnswer(
	r *http.Request, request *ClientRequest,
) (text []byte, final kserve.FinalResponse, ok bool) {
	attempt, final, ok := request.WaitStart(r.Context())
	if !ok {
		s.disconnected(request)
		return nil, final, false
	}
	if attempt == nil {
		return nil, final, true
	}
	tokens := attempt.Tokens
	var finals <-chan kserve.FinalResponse // nil until all tokens have been read
	for {
		select {
		case <-r.Context().Done():
			s.disconnected(request)
			return nil, final, false
		case final = <-finals:
			return text, final, true
		case piece, more := <-tokens:
			if !more {
				tokens, finals = nil, request.Final()
				continue
			}
			var failure string
			if text, failure = appendToken(text, piece); failure != "" {
				s.disconnected(request)
				return nil, kserve.FinalResponse{Outcome: kserve.Failed, Error: failure}, true
			}
		}
	}
}

// appendToken appends the text of a token, or tells why the answer cannot be gathered.
func appendToken(text, piece []byte) (appended []byte, failure string) {
	var token kserve.Token
	if json.Unmarshal(piece, &token) != nil {
		return nil, "the answer has an event that is not a token"
	}
	if len(text)+len(token.Text) > maxBufferedAnswer {
		return nil, "the answer is too long to be gathered; ask for a stream"
	}
	return append(text, token.Text...), ""
}

// answerWhole answers with the whole text at once, in the form that write gives it. A request that is not served gets a
// plain final answer.
func (s *Server) answerWhole(
	w http.ResponseWriter, r *http.Request, inference bool,
	write func(request *ClientRequest, text []byte, final kserve.FinalResponse),
) {
	request := s.submit(w, r, inference)
	if request == nil {
		return
	}
	text, final, ok := s.bufferAnswer(r, request)
	defer s.close(request, final)
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.Instance.WriteTimeout.Std()))
	switch {
	case !ok:
	case final.Outcome != kserve.Served:
		kserve.WriteFinalResponse(w, final)
	default:
		write(request, text, final)
	}
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	s.answerWhole(w, r, false, func(request *ClientRequest, text []byte, final kserve.FinalResponse) {
		kserve.WriteJSON(w, http.StatusOK, map[string]any{
			"model_name": s.Service.Model, "id": request.Params.ID, "text_output": string(text), "final": final.Outcome,
			"trips": final.Attempts,
		})
	})
}

func (s *Server) infer(w http.ResponseWriter, r *http.Request) {
	s.answerWhole(w, r, true, func(request *ClientRequest, text []byte, final kserve.FinalResponse) {
		data, err := json.Marshal([]string{string(text)})
		if err != nil {
			kserve.WriteError(w, err)
			return
		}
		kserve.WriteJSON(w, http.StatusOK, kserve.InferResponse{
			Model: s.Service.Model, Version: "1", ID: request.Params.ID,
			Parameters: kserve.Params{"final": final.Outcome, "trips": final.Attempts},
			Outputs:    []kserve.Tensor{{Name: "text_output", Shape: []int64{1}, Datatype: "BYTES", Data: data}},
		})
	})
}
