// Package metrics defines and records a broker's metrics. The Catalogue is the only source of their names, kinds,
// units and meanings. A Registry records values and returns them as one Interval at a time for delivery. The package
// does no I/O and reads no clock, and recording on the request path does not allocate.
package metrics
