package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"sloetrestle/internal/kserve"
	"sloetrestle/internal/prefixtable"
	"sloetrestle/internal/setup"
)

// This file takes a client's request from its body to the event loop, and counts open requests and their ids.

// submission is a request that is read and submitted.
type submission struct {
	server        *Server
	w             http.ResponseWriter
	r             *http.Request
	arrivedAt     time.Time
	params        kserve.Request
	class, tenant int // by their numbers
}

// submit reads a request and submits it to the loop. It returns nil if the request was not accepted; the client then
// has its answer.
func (s *Server) submit(w http.ResponseWriter, r *http.Request, inference bool) *ClientRequest {
	submitted := &submission{server: s, w: w, r: r, arrivedAt: time.Now()}
	for _, step := range []func() error{
		func() error { return submitted.read(inference) }, submitted.resolveNames,
	} {
		if err := step(); err != nil {
			kserve.WriteError(w, err)
			return nil
		}
	}
	submitted.setDefaults()
	if !submitted.open() {
		return nil
	}
	return submitted.post()
}

// read reads the body.
func (s *submission) read(inference bool) (err error) {
	instance, control := s.server.Instance, http.NewResponseController(s.w)
	control.SetReadDeadline(s.arrivedAt.Add(instance.BodyTimeout.Std()))
	read := kserve.ReadGenerateRequest
	if inference {
		read = kserve.ReadInferRequest
	}
	s.params, err = read(http.MaxBytesReader(s.w, s.r.Body, instance.MaxBodyBytes))
	if err != nil && (errors.Is(err, os.ErrDeadlineExceeded) || strings.Contains(err.Error(), "i/o timeout")) {
		return &kserve.RequestError{
			Status:  http.StatusRequestTimeout,
			Message: fmt.Sprintf("the body did not arrive within %v", instance.BodyTimeout.Std()),
		}
	}
	if err != nil {
		return err
	}
	control.SetReadDeadline(time.Time{})
	return nil
}

// resolveNames finds the class and the tenant.
func (s *submission) resolveNames() error {
	service := s.server.Service
	if name := s.params.Class; name != "" {
		if s.class = service.ClassIndex(name); s.class < 0 {
			return unknownName("parameters.grade", name)
		}
	}
	if name := s.params.Tenant; name != "" {
		if s.tenant = service.TenantIndex(name); s.tenant < 0 {
			return unknownName("parameters.channel", name)
		}
	}
	return nil
}

// unknownName returns the error of a field that names something unknown.
func unknownName(field, name string) error {
	return &kserve.RequestError{
		Status: http.StatusBadRequest, Field: field, Message: fmt.Sprintf("%q is unknown", name),
	}
}

// setDefaults sets what the client left out.
func (s *submission) setDefaults() {
	params, class := &s.params, s.classSetup()
	if params.PromptTokens == 0 {
		params.PromptTokens = max(prefixtable.EstimateTokens(params.Text), 1)
	}
	params.PrefixTokens = min(params.PrefixTokens, params.PromptTokens)
	if params.MaxTokens == 0 {
		params.MaxTokens = class.DefaultMaxTokens
	}
	if params.Timeout == 0 {
		params.Timeout = class.Deadline.Std() +
			2*time.Duration(float64(params.PromptTokens)/1000*float64(class.TargetPer1000Tokens))
	}
	if tenants := s.server.Service.Tenants; params.Tenant == "" && len(tenants) > 0 {
		params.Tenant = tenants[0].Name
	}
}

// classSetup returns the request's class as it is configured.
func (s *submission) classSetup() setup.Class { return s.server.Service.Classes[s.class] }

// open counts the request as open and claims its id. It returns false if it may not be opened; the client then has its
// answer.
func (s *submission) open() bool {
	server, id := s.server, s.params.ID
	if server.stopping.Load() {
		kserve.WriteFinalResponse(s.w, retryElsewhere(stoppingReason))
		return false
	}
	if id != "" && !server.ids.Claim(id) {
		kserve.WriteError(s.w, &kserve.RequestError{
			Status: http.StatusConflict, Field: "id",
			Message: fmt.Sprintf("a request with the id %q is open or has run", id),
		})
		return false
	}
	limits := server.Service.Limits
	if server.openRequests.Add(1) > int64(limits.MaxOpenRequests) {
		server.closeRequest(id, false)
		kserve.WriteFinalResponse(s.w, kserve.FinalResponse{
			Outcome: kserve.Rejected, Error: "as many questions are open as this dispatcher takes",
			SafeToRetry: true, RetryAfterMs: limits.MaxRetryAfter.Std().Milliseconds(),
		})
		return false
	}
	return true
}

// post submits the request to the loop. It returns nil if the loop has ended; the client then has its answer.
func (s *submission) post() *ClientRequest {
	server := s.server
	request := &ClientRequest{Params: s.params, Class: s.classSetup().Name, Tenant: s.params.Tenant}
	submitted := server.Loop.Call(context.WithoutCancel(s.r.Context()), func() {
		server.findSharedPrefix(request)
		timeLeft := s.params.Timeout - time.Since(s.arrivedAt) - server.Instance.ResponseMargin.Std()
		server.Loop.Submit(request, s.class, s.tenant, timeLeft)
	})
	if !submitted {
		server.closeRequest(s.params.ID, false)
		kserve.WriteFinalResponse(s.w, retryElsewhere("this dispatcher has stopped"))
		return nil
	}
	return request
}

// findSharedPrefix finds the prefix that a request's prompt shares with other sessions, unless its client names one. The
// event loop calls it.
func (s *Server) findSharedPrefix(request *ClientRequest) {
	params := &request.Params
	if params.SharedPrefix != "" || params.Text == "" {
		return
	}
	if key, tokens := s.prefixes.SharedPrefix(s.Loop.now, HashName(params.Session), params.Text); key != 0 {
		params.SharedPrefix, params.PrefixTokens = fmt.Sprintf("text-%x", key), min(tokens, params.PromptTokens)
	}
}

// closeRequest counts a request as closed and frees its id, or remembers it as used.
func (s *Server) closeRequest(id string, mayHaveRun bool) {
	s.openRequests.Add(-1)
	if id != "" {
		s.ids.Release(id, mayHaveRun)
	}
}

// close closes a request that was submitted. The id of one that must not run twice is remembered, unless the request was
// rejected: then its client may send it again.
func (s *Server) close(request *ClientRequest, final kserve.FinalResponse) {
	class := s.Service.Classes[s.Service.ClassIndex(request.Class)]
	s.closeRequest(request.Params.ID, class.Effect == unrepeatableEffect && final.Outcome != kserve.Rejected)
}
