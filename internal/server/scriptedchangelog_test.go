package server_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// scriptedLog plays the change log: it shows each request and gives the answers of the script.
type scriptedLog struct {
	tr       *transcript
	addr     string
	requests chan logRequest
}

type logRequest struct {
	conn net.Conn
	raw  string
}

func newScriptedLog(tr *transcript) *scriptedLog {
	tr.t.Helper()
	ln := listen(tr.t)
	l := &scriptedLog{tr: tr, addr: ln.Addr().String(), requests: make(chan logRequest, 1000)}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go l.readAll(nc)
		}
	}()
	return l
}

// silentLog is the address of a change log that never answers, and whose requests are not recorded.
func silentLog(t *testing.T) string {
	t.Helper()
	return newScriptedLog(&transcript{t: t}).addr
}

func (l *scriptedLog) readAll(nc net.Conn) {
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
			l.requests <- logRequest{nc, raw.String()}
			raw.Reset()
		}
	}
}

func (l *scriptedLog) next() logRequest {
	l.tr.t.Helper()
	r := receive(l.tr.t, l.requests, "a request to the change log")
	l.tr.line("change log < %q", strings.ReplaceAll(r.raw, l.addr, "127.0.0.1:#"))
	return r
}

func (l *scriptedLog) answer(r logRequest, raw string) {
	l.tr.t.Helper()
	l.tr.line("change log > %q", raw)
	if _, err := io.WriteString(r.conn, raw); err != nil {
		l.tr.t.Fatal(err)
	}
}

func ok(body, header string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n%s", len(body), header, body)
}

func hostEntry(id, addr, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"class":"std","health":%q,"born_ms":0}`, id, addr, health)
}

func listPage(seq int, complete bool, hosts ...string) string {
	return fmt.Sprintf(`{"seq":%d,"results":[{"seq":%d,"fleet":{"whole":%v,"hosts":[%s]}}]}`,
		seq, seq, complete, strings.Join(hosts, ","))
}
