package testbackends

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"time"
)

// Agent is the service discovery at one address.
type Agent struct {
	Address       string
	platform      *Platform
	listener      net.Listener
	watches       map[net.Conn]bool
	conns         map[net.Conn]bool
	requestURIs   []string
	silent        bool // accepts connections and sends nothing
	indent        bool
	delay         time.Duration // before a response
	truncateAfter int           // bytes of a response to a watch, after which nothing more is sent; 0: no limit
}

// AddAgent starts another agent, on a loopback address.
func (p *Platform) AddAgent() *Agent {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	agent := &Agent{
		Address: listener.Addr().String(), platform: p, listener: listener,
		watches: map[net.Conn]bool{}, conns: map[net.Conn]bool{},
	}
	p.mu.Lock()
	p.agents = append(p.agents, agent)
	p.mu.Unlock()
	p.accept(listener, agent.conns, agent.serve)
	return agent
}

func (a *Agent) serve(conn net.Conn) {
	platform := a.platform
	defer func() {
		conn.Close()
		platform.mu.Lock()
		delete(a.watches, conn)
		delete(a.conns, conn)
		platform.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		platform.mu.Lock()
		delay := a.delay
		platform.mu.Unlock()
		if delay > 0 && !waitWhileOpen(conn, reader, delay) {
			return
		}
		platform.mu.Lock()
		a.requestURIs = append(a.requestURIs, request.RequestURI)
		switch {
		case a.silent:
		case request.URL.Query().Get("stream") == "":
			raw := a.format(platform.discoveryList(true))
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(raw), raw)
		default:
			raw := string(a.format(platform.discoveryList(true))) + "\n"
			response := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + EncodeChunk(raw)
			if a.truncateAfter > 0 {
				io.WriteString(conn, response[:min(a.truncateAfter, len(response))])
				break
			}
			a.watches[conn] = true
			io.WriteString(conn, response)
		}
		platform.mu.Unlock()
	}
}

// waitWhileOpen waits for a duration. It returns false if the peer has closed the connection before.
func waitWhileOpen(conn net.Conn, reader *bufio.Reader, wait time.Duration) bool {
	conn.SetReadDeadline(time.Now().Add(wait))
	defer conn.SetReadDeadline(time.Time{})
	_, err := reader.Peek(1)
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// push writes a list to the watches. The platform's mu must be held.
func (a *Agent) push(raw []byte) {
	if a.silent {
		return
	}
	for c := range a.watches {
		io.WriteString(c, EncodeChunk(string(a.format(raw))+"\n"))
	}
}

// format returns a list in the form in which the agent writes it.
func (a *Agent) format(raw []byte) []byte {
	if !a.indent {
		return raw
	}
	var b bytes.Buffer
	json.Indent(&b, raw, "", "  ")
	return b.Bytes()
}

// SetIndent makes the agent write a list over many lines.
func (a *Agent) SetIndent(indent bool) {
	a.platform.mu.Lock()
	defer a.platform.mu.Unlock()
	a.indent = indent
}

// SetTruncateAfter makes the agent stop in the middle of a response to a watch, after limit bytes; 0 removes the
// limit.
func (a *Agent) SetTruncateAfter(limit int) {
	a.platform.mu.Lock()
	defer a.platform.mu.Unlock()
	a.truncateAfter = limit
}

// SetDelay sets the delay of a response.
func (a *Agent) SetDelay(delay time.Duration) {
	a.platform.mu.Lock()
	defer a.platform.mu.Unlock()
	a.delay = delay
}

// WriteRaw writes bytes unchanged to the watches.
func (a *Agent) WriteRaw(raw string) {
	a.platform.mu.Lock()
	defer a.platform.mu.Unlock()
	for c := range a.watches {
		io.WriteString(c, raw)
	}
}

// CloseConns closes all connections; the agent still listens.
func (a *Agent) CloseConns() {
	a.platform.mu.Lock()
	defer a.platform.mu.Unlock()
	for c := range a.conns {
		c.Close()
	}
}

// SetSilent makes the agent send nothing, or respond again.
func (a *Agent) SetSilent(silent bool) {
	a.platform.mu.Lock()
	defer a.platform.mu.Unlock()
	a.silent = silent
}

// RequestURIs lists the URIs of the requests that the agent received.
func (a *Agent) RequestURIs() []string {
	a.platform.mu.Lock()
	defer a.platform.mu.Unlock()
	return slices.Clone(a.requestURIs)
}

// WatchCount returns the number of open watches.
func (a *Agent) WatchCount() int {
	a.platform.mu.Lock()
	defer a.platform.mu.Unlock()
	return len(a.watches)
}
