// Package metrics holds what a broker counts and measures. The Catalogue is the one source of names, kinds,
// units and meaning; a Registry records under it, and cuts off an Interval of figures at a time for delivery.
// The package does no I/O and reads no clock, and recording on the path of a request allocates nothing.
package metrics
