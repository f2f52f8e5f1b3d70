package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"
)

// recordingChangelog is a change log with an empty endpoint list of revision 7. It records the polls.
type recordingChangelog struct {
	address string
	polls   <-chan string // the revision in each poll
}

func newRecordingChangelog(t *testing.T) recordingChangelog {
	t.Helper()
	polls := make(chan string, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		since := r.URL.Query().Get("since")
		polls <- since
		if since == "0" {
			const list = `{"seq":7,"results":[{"seq":7,"fleet":{"whole":true,"hosts":[]}}]}`
			_, _ = io.WriteString(w, list) // after a failed write, the broker does not poll since 7
			return
		}
		<-r.Context().Done()
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return recordingChangelog{server.Listener.Addr().String(), polls}
}

// wantPoll waits for the next poll, which must be since the given revision.
func (c recordingChangelog) wantPoll(t *testing.T, since string) {
	t.Helper()
	select {
	case got := <-c.polls:
		if got != since {
			t.Fatalf("polled since %s, want %s", got, since)
		}
	case <-time.After(testTimeout):
		t.Fatalf("not polled within %v, want a poll since %s", testTimeout, since)
	}
}

// wantNoPoll checks that there was no further poll.
func (c recordingChangelog) wantNoPoll(t *testing.T) {
	t.Helper()
	select {
	case got := <-c.polls:
		t.Fatalf("polled since %s, want no poll", got)
	default:
	}
}

// At SIGHUP the program reloads its configuration: an invalid one is logged with its key and ignored, and a change log
// at a new address is polled from the last revision of the previous one.
func TestReloadAtHangup(t *testing.T) {
	first, second, third := newRecordingChangelog(t), newRecordingChangelog(t), newRecordingChangelog(t)
	p := newProcess(t, validSettings)
	writeConfig(t, p.configPath, first.address, validSettings)
	p.start(t)
	// If an expected line is never logged, the end of the process ends the log and the wait for that line.
	watchdog := time.AfterFunc(3*testTimeout, func() { _ = p.Process.Kill() })
	defer watchdog.Stop()
	first.wantPoll(t, "0")
	first.wantPoll(t, "7")
	for _, step := range []struct {
		changelog, settings, logged string
	}{
		{"nowhere", validSettings, "changelog: "},
		{second.address, `{"RoundNs":-1}`, "settings.RoundNs: "},
		{third.address, validSettings, `"reloaded"`},
	} {
		writeConfig(t, p.configPath, step.changelog, step.settings)
		p.signal(t, syscall.SIGHUP)
		p.waitForLine(t, step.logged)
	}
	third.wantPoll(t, "7")
	first.wantNoPoll(t)
	second.wantNoPoll(t)
	p.signal(t, syscall.SIGTERM)
	p.waitForLine(t, `"stopped"`)
	p.waitForExit(t)
}
