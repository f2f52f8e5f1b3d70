package demo

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"wheatlane/internal/emulator/client"
	"wheatlane/internal/emulator/conformance"
	"wheatlane/internal/report"
)

const progressInterval = time.Second

// printProgress prints the outcomes of requests every progressInterval, until ctx is done.
func (d *demonstration) printProgress(ctx context.Context) {
	d.printf("%6s  %7s %6s %7s %6s %5s   %s\n",
		"second", "in time", "late", "refused", "failed", "gone", "slowest lookup, report, load")
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for second := 1; ; second++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.printOutcomes(second, d.load.TakeCounts())
	}
}

// printOutcomes prints a line with the outcomes of all classes and the slowest request of each class.
func (d *demonstration) printOutcomes(second int, byClass map[string]client.Counts) {
	var all client.Counts
	unserved := 0
	for _, c := range byClass {
		all.InTime += c.InTime
		all.Late += c.Late
		all.Rejected += c.Rejected
		all.Failed += c.Failed
		unserved += c.ClientDisconnected + c.Unanswered + c.WrongAnswers
	}
	var slowest strings.Builder
	for _, c := range classes {
		fmt.Fprintf(&slowest, " %6s", byClass[c.Engine.Name].Slowest.Round(time.Millisecond))
	}
	d.printf("%6d  %7d %6d %7d %6d %5d  %s\n",
		second, all.InTime, all.Late, all.Rejected, all.Failed, unserved, slowest.String())
}

// finish writes the report and prints the results of the conformance checker and the collector. It returns an error for
// each violation.
func (d *demonstration) finish() error {
	findings := d.reconciler.Reconcile()
	file, err := d.create(reportFile)
	if err != nil {
		return err
	}
	err = report.Write(file, "A demo of wheatlane", findings)
	if err := errors.Join(err, file.Close()); err != nil {
		return err
	}
	checked := d.checker.Check(time.Now())
	d.printf("%d requests: %d served, %d refused, %d failed; %d attempts at engines\n",
		checked.Requests, checked.Outcomes[conformance.Served], checked.Outcomes[conformance.Rejected],
		checked.Outcomes[conformance.Failed], checked.Attempts)
	for _, incarnation := range findings.Incarnations {
		d.printf("the collector has %d intervals, which stand for %d of %d\n",
			len(incarnation.Intervals), incarnation.Represented, incarnation.LastSequence)
	}
	d.printf("report: %s\n", d.path(reportFile))
	violations := make([]error, 0, len(checked.Violations)+len(findings.Violations))
	for _, text := range checked.Violations {
		violations = append(violations, errors.New(text))
	}
	for _, text := range findings.Violations {
		violations = append(violations, errors.New(text))
	}
	return errors.Join(violations...)
}
