// Package telemetry reports a broker's metrics to Graphite and collectd. A Recorder records the events of the reducer
// and the sockets. A Reporter ends intervals and delivers each to all destinations, according to the decisions of
// internal/delivery. Requests never wait for telemetry: each operation that can block has its own goroutine.
package telemetry
