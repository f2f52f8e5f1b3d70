// Command edgecases runs a broker on loopback under load and faults and counts edge cases that the operators limit:
// queued requests that the broker forwards although their clients have disconnected, requests that it forwards although
// they were sent after a planned restart had shut down their connection, and violations of any other rule. Clients
// disconnect by KILL QUERY, a close or a reset. Each printed line is a name, a value and a unit.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"sync"
	"time"

	"wheatlane/internal/emulator/conformance"
	"wheatlane/internal/emulator/engine"
)

// options configures a run.
type options struct {
	seed         uint64
	duration     time.Duration // until the planned restart
	hedging      bool          // the deployment allows hedged requests
	cancellation bool          // the deployment allows brokers to cancel attempts
	busy         bool          // long requests are in flight at the planned restart
}

func main() {
	var o options
	flag.Uint64Var(&o.seed, "seed", 1, "seed of the random numbers")
	flag.DurationVar(&o.duration, "for", 20*time.Second, "duration until the planned restart")
	flag.BoolVar(&o.hedging, "copies", true, "the deployment allows hedged requests")
	flag.BoolVar(&o.cancellation, "cancel", true, "the deployment allows to cancel attempts")
	flag.BoolVar(
		&o.busy,
		"busy",
		false,
		"long requests are in flight at the planned restart, otherwise only short ones",
	)
	flag.Parse()
	if err := measure(context.Background(), o); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

// engineObserver reports the attempts at engines to the checker, and counts the requests that were sent after the
// shutdown. It is safe for concurrent use.
type engineObserver struct {
	checker *conformance.Checker

	mu        sync.Mutex
	late      map[string]bool // requests that were sent after the shutdown
	forwarded int             // attempts of the late requests
}

// AttemptReceived records an attempt that an engine has received.
func (o *engineObserver) AttemptReceived(r engine.Attempt) {
	o.checker.AttemptReceived(r.Engine, r.RequestID, r.ReceivedAt)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.late[r.RequestID] {
		o.forwarded++
	}
}

// AttemptEnded records the end of an attempt at an engine.
func (o *engineObserver) AttemptEnded(engine, requestID string, at time.Time) {
	o.checker.AttemptEnded(engine, requestID, at)
}

// addLate records a request that is sent after the shutdown.
func (o *engineObserver) addLate(requestID string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.late[requestID] = true
}

// lateCounts returns how many requests were sent after the shutdown, and how many attempts of them engines
// received.
func (o *engineObserver) lateCounts() (sent, forwarded int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.late), o.forwarded
}

var outcomes = []conformance.Outcome{
	conformance.Served,
	conformance.Rejected,
	conformance.Failed,
	conformance.ClientDisconnected,
	conformance.Unanswered,
	conformance.WrongAnswer,
}

func printCount(name string, n int) { fmt.Printf("%s %d requests\n", name, n) }

// printVerdict prints the counts. The returned error joins all violations.
func printVerdict(v conformance.Report, observer *engineObserver) error {
	printCount("asked", v.Requests)
	for _, outcome := range outcomes {
		printCount(string(outcome), v.Outcomes[outcome])
	}
	printCount("left_while_waiting", v.UnsentAtDisconnect)
	printCount("sent_on_0.3s_after_leaving", v.SentAfterDisconnect)
	sent, forwarded := observer.lateCounts()
	printCount("asked_after_the_shutdown", sent)
	printCount("sent_on_after_the_shutdown", forwarded)
	fmt.Printf("breaches %d\n", len(v.Violations))
	var violations []error
	for _, violation := range v.Violations {
		violations = append(violations, errors.New(violation))
	}
	if v.UnsentAtDisconnect == 0 || sent == 0 {
		violations = append(violations, errors.New("no client left while its request was queued, "+
			"or none sent one after the shutdown: nothing was checked"))
	}
	if forwarded > 0 {
		violations = append(
			violations,
			fmt.Errorf("%d requests were forwarded that were sent after the shutdown", forwarded),
		)
	}
	return errors.Join(violations...)
}
