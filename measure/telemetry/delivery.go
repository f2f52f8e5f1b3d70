package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"wheatlane/control"
	"wheatlane/internal/broker"
	"wheatlane/internal/collectd"
	"wheatlane/internal/delivery"
	"wheatlane/internal/metrics"
	"wheatlane/internal/telemetry"
)

const (
	intervalLength      = 10 * time.Second
	intervalsPerHour    = 360
	intervalsPerMinute  = 6
	requestsPerInterval = 1000 // 100 requests a second
)

// traffic records random requests, with more names of tenants and data sets than have series of their own.
type traffic struct {
	rng      *rand.Rand
	recorder *telemetry.Recorder
	broker   *broker.Broker
	now      time.Duration
}

func newTraffic(seed1, seed2 uint64) (*traffic, error) {
	b, err := broker.New(control.Settings{
		Brokers:          1,
		MinBatchInterval: time.Millisecond,
		Classes:          []control.Class{{Name: "lookup", Threads: 1}},
	}, 1, 10)
	if err != nil {
		return nil, err
	}
	return &traffic{
		rng:      rand.New(rand.NewPCG(seed1, seed2)),
		recorder: telemetry.NewRecorder(limits, 0, 0),
		broker:   b,
	}, nil
}

// nextInterval records the requests of one interval and returns the metrics of the interval.
func (t *traffic) nextInterval() *metrics.Interval {
	for range requestsPerInterval {
		t.record()
	}
	t.now += intervalLength
	return t.recorder.EndReducerInterval(t.now, t.broker)
}

func (t *traffic) record() {
	r := &broker.Request{
		Class:   []string{"lookup", "route-report", "survey-load"}[t.rng.IntN(3)],
		Tenant:  fmt.Sprint("t", t.rng.IntN(40)),
		DataSet: t.rng.IntN(60),
	}
	t.recorder.RequestAccepted(r)
	t.recorder.AttemptStarted(r.Class)
	duration := time.Duration(math.Exp(t.rng.NormFloat64()+4) * float64(time.Millisecond))
	t.recorder.AttemptEnded(broker.AttemptSummary{
		Class:    r.Class,
		Engine:   fmt.Sprint("s-", t.rng.IntN(10)),
		Status:   control.OK,
		Duration: duration,
	})
	t.recorder.RequestEnded(broker.RequestSummary{
		Class:     r.Class,
		Tenant:    r.Tenant,
		Kind:      broker.ReplyResult,
		Duration:  duration,
		Objective: 400 * time.Millisecond,
		Attempts:  1,
	})
}

// measureBacklog measures the size and the losses of the backlog for a collector that is unreachable for an hour.
func measureBacklog() error {
	const (
		budgetBytes     = 512 << 10
		nearlyFullBytes = 500 << 10
	)
	t, err := newTraffic(3, 4)
	if err != nil {
		return err
	}
	m := delivery.New(delivery.Config{
		MemoryBudget:   budgetBytes,
		InitialBackoff: time.Second,
		MaxBackoff:     time.Second,
		WriteTimeout:   time.Second,
		ReplayRate:     1,
	}, 1)
	fullAt, slowest := 0, time.Duration(0)
	for i := range intervalsPerHour {
		interval := t.nextInterval()
		start := time.Now()
		m.Apply(0, delivery.IntervalAdded{Interval: interval})
		slowest = max(slowest, time.Since(start))
		backlogBytes := m.Stats().HeldBytes
		if i == intervalsPerMinute-1 {
			printResult("backlog_first_minute", float64(backlogBytes)/bytesPerKilobyte, "KB")
		}
		if fullAt == 0 && backlogBytes > nearlyFullBytes {
			fullAt = i
		}
	}
	stats := m.Stats()
	printResult("backlog_unfolded_for", float64(fullAt)/intervalsPerMinute, "minutes of 512 KB")
	printResult("backlog_after_an_hour", float64(stats.HeldBytes)/bytesPerKilobyte, "KB")
	printResult("lost_after_an_hour", float64(stats.LostIntervals)+stats.LostSamples, "intervals and values")
	printResult("longest_fold", float64(slowest.Microseconds()), "us")
	return nil
}

// measurePackets measures how many packets for collectd are encoded per second, at each security level.
func measurePackets() error {
	t, err := newTraffic(5, 6)
	if err != nil {
		return err
	}
	interval := t.nextInterval()
	for name, level := range map[string]collectd.Level{
		"plain":     collectd.Plain,
		"signed":    collectd.Sign,
		"encrypted": collectd.Encrypt,
	} {
		rate, err := packetRate(interval, level)
		if err != nil {
			return err
		}
		printResult("collectd_"+name, rate, "packets/s")
	}
	return nil
}

// packetRate encodes an interval repeatedly and returns the number of packets per second.
func packetRate(interval *metrics.Interval, level collectd.Level) (float64, error) {
	const packFor = 300 * time.Millisecond
	packets := 0
	packer := collectd.Packer{
		Security: collectd.Security{Level: level, User: "u", Password: "p"},
		Random:   func([]byte) error { return nil },
		Emit: func([]byte) error {
			packets++
			return nil
		},
	}
	start := time.Now()
	for time.Since(start) < packFor {
		if err := collectd.EachValueList(interval, "n1", packer.Add); err != nil {
			return 0, err
		}
		if err := packer.Flush(); err != nil {
			return 0, err
		}
	}
	return float64(packets) / time.Since(start).Seconds(), nil
}
