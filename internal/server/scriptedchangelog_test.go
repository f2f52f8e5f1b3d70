package server_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"wheatlane/internal/socktest"
)

// scriptedChangelog is a change log that responds to each request by a script. It responds on the goroutine that read
// the request, as a poll ends after endpointwatch's pollTimeout and pollGrace without a response.
type scriptedChangelog struct {
	t        *testing.T
	addr     string
	respond  func(request string) string // returns "" for no response
	requests chan changelogRequest
}

// changelogRequest is a request with its response.
type changelogRequest struct{ raw, response string }

// newScriptedChangelog starts a change log. Calls of respond never overlap.
func newScriptedChangelog(t *testing.T, respond func(request string) string) *scriptedChangelog {
	t.Helper()
	ln := listen(t)
	l := &scriptedChangelog{
		t: t, addr: ln.Addr().String(), respond: respond, requests: make(chan changelogRequest, 1000),
	}
	var mu sync.Mutex
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go l.serve(nc, &mu)
		}
	}()
	return l
}

// silentChangelog starts a change log that never responds and returns its address.
func silentChangelog(t *testing.T) string {
	t.Helper()
	return newScriptedChangelog(t, func(string) string { return "" }).addr
}

// serve reads requests and responds to them until the connection ends.
func (l *scriptedChangelog) serve(nc net.Conn, mu *sync.Mutex) {
	defer func() { _ = nc.Close() }() // the broker may have closed it first
	in := bufio.NewReader(nc)
	var raw strings.Builder
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		raw.WriteString(line)
		if line == "\r\n" {
			l.handle(nc, raw.String(), mu)
			raw.Reset()
		}
	}
}

func (l *scriptedChangelog) handle(nc net.Conn, request string, mu *sync.Mutex) {
	mu.Lock()
	defer mu.Unlock()
	response := l.respond(request)
	_, _ = io.WriteString(nc, response) // the poll may have timed out; the broker then polls again
	select {
	case l.requests <- changelogRequest{request, response}:
	default: // no test reads that many
	}
}

// record records the next request and its response.
func (l *scriptedChangelog) record(tr *transcript) {
	tr.t.Helper()
	r := socktest.Receive(tr.t, l.requests, "a request to the change log")
	tr.line("change log < %q", strings.ReplaceAll(r.raw, l.addr, "127.0.0.1:#"))
	if r.response != "" {
		tr.line("change log > %q", r.response)
	}
}

func httpOK(body, header string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n%s", len(body), header, body)
}

func endpointEntry(id, addr, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"class":"std","health":%q,"born_ms":0}`, id, addr, health)
}

func endpointPage(revision int, snapshot bool, endpoints ...string) string {
	return fmt.Sprintf(`{"seq":%d,"results":[{"seq":%d,"fleet":{"whole":%v,"hosts":[%s]}}]}`,
		revision, revision, snapshot, strings.Join(endpoints, ","))
}
