package main

import (
	"runtime"
	"time"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/telemetry"
)

const (
	warmUpRequests = 2000            // until sketches have allocated all their memory
	recordingTime  = 1 * time.Second // for each meter
	recordingBatch = 1000            // requests between two readings of the clock
)

// measureRecording measures the time and the allocations of recording a request, with and without metrics.
func measureRecording() error {
	for _, m := range []struct {
		name  string
		meter broker.Meter
	}{
		{"recording_off", broker.NopMeter{}},
		{"recording_on", telemetry.NewRecorder(limits, 0, 0)},
	} {
		perRequest, allocations := recordRequests(m.meter)
		printResult(m.name, float64(perRequest.Nanoseconds()), "ns/request")
		printResult(m.name+"_allocations", float64(allocations), "allocations/request")
	}
	return nil
}

// recordRequests returns the mean time and heap allocations of recording a request.
func recordRequests(meter broker.Meter) (perRequest time.Duration, allocations uint64) {
	r := &broker.Request{Class: "lookup", Tenant: "fishing-fleet", DataSet: 17}
	for i := range warmUpRequests {
		recordRequest(meter, r, i)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start, requests := time.Now(), 0
	for time.Since(start) < recordingTime {
		for range recordingBatch {
			recordRequest(meter, r, requests)
			requests++
		}
	}
	elapsed := time.Since(start)
	runtime.ReadMemStats(&after)
	return elapsed / time.Duration(requests), (after.Mallocs - before.Mallocs) / uint64(requests)
}

// recordRequest records a request that its first attempt serves.
func recordRequest(meter broker.Meter, r *broker.Request, i int) {
	duration := time.Duration(i%500) * time.Millisecond
	meter.RequestAccepted(r)
	meter.AttemptStarted(r.Class)
	meter.AttemptEnded(broker.AttemptSummary{
		Class:    r.Class,
		Engine:   "s-00c41f7a",
		Status:   control.OK,
		Duration: duration,
	})
	meter.RequestEnded(broker.RequestSummary{
		Class:     r.Class,
		Tenant:    r.Tenant,
		Kind:      broker.ReplyResult,
		Duration:  duration,
		Objective: 400 * time.Millisecond,
		QueueTime: time.Millisecond,
		Attempts:  1,
	})
}
