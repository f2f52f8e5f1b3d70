package changelogserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"
)

const maxPollDuration = 5 * time.Second

// page is a response in its wire format.
type page struct {
	Revision int64   `json:"seq"`
	Results  []event `json:"results"`
}

// KnownPage returns the page of all events so far, which brokers' configurations contain as the known events.
func (l *ChangeLog) KnownPage() (json.RawMessage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return encodePage(0, l.events)
}

// encodePage encodes the page of the events after a revision.
func encodePage(since int64, events []event) (json.RawMessage, error) {
	p := page{Revision: since, Results: events}
	if len(events) > 0 {
		p.Revision = events[len(events)-1].Revision
	} else {
		p.Results = []event{} // encoded as an empty list instead of null
	}
	text, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("change log emulator: encode page: %w", err)
	}
	return text, nil
}

// Run serves until ctx is done.
func (l *ChangeLog) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /changes", l.handlePoll)
	g, ctx := errgroup.WithContext(ctx)
	s := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: maxPollDuration,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	g.Go(func() error {
		if err := s.Serve(l.listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("change log emulator: serve: %w", err)
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		return s.Close()
	})
	return g.Wait()
}

// handlePoll responds to GET /changes?since=REVISION&timeout=MILLISECONDS once there are events after the revision, or
// at the timeout, which is at most maxPollDuration.
func (l *ChangeLog) handlePoll(w http.ResponseWriter, r *http.Request) {
	since, sinceErr := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	timeoutMS, timeoutErr := strconv.Atoi(r.URL.Query().Get("timeout"))
	if errors.Join(sinceErr, timeoutErr) != nil || timeoutMS < 0 {
		http.Error(w, "since or timeout is no number", http.StatusBadRequest)
		return
	}
	end := time.Now().Add(min(maxPollDuration, time.Duration(timeoutMS)*time.Millisecond))
	for {
		v := l.eventsAfter(since)
		if len(v.events) > 0 || !time.Now().Before(end) {
			l.writePage(w, r, since, v)
			return
		}
		wakeAt := end
		if !v.next.IsZero() && v.next.Before(end) {
			wakeAt = v.next
		}
		select {
		case <-r.Context().Done():
			return
		case <-v.changed:
		case <-time.After(time.Until(wakeAt)):
		}
	}
}

// writePage writes the page of a view, with the fault of its mode.
func (l *ChangeLog) writePage(w http.ResponseWriter, r *http.Request, since int64, v view) {
	if v.mode == Unavailable {
		http.Error(w, "not now", http.StatusServiceUnavailable)
		return
	}
	text, err := encodePage(since, v.events)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if v.mode == Truncating || v.mode == Stalling {
		truncate(w, r, text, v.mode)
	}
	if l.onDelivered != nil {
		for _, ev := range v.events {
			for _, e := range ev.Fleet.Endpoints {
				l.onDelivered(e, time.Now())
			}
		}
	}
	_, _ = w.Write(text) // a broker that does not receive it polls again
}

// truncate writes half of a response and aborts it; in mode Stalling it first waits until the client ends the request.
// It never returns.
func truncate(w http.ResponseWriter, r *http.Request, text []byte, mode Mode) {
	_, _ = w.Write(text[:len(text)/2]) // the response fails in any case
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	if mode == Stalling {
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}
