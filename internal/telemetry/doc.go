// Package telemetry reports to Graphite and collectd what a broker counts and measures. A Recorder records
// the events of the reducer and the sockets; a Reporter ends an interval at a time and delivers it to each
// destination as internal/delivery decides. No request waits for any of it: everything that can block has a
// goroutine of its own.
package telemetry
