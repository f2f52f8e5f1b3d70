// Package enginepool manages the connections to engines and sends attempts and load probes on them. It opens a few
// connections to each engine, multiplexes streams on each, withdraws messages that have not been sent, probes silent
// connections, and translates the responses of engines into events of the reducer. It makes no decisions of the
// reducer: the reducer selects the engine of an attempt and decides on retries.
//
// One goroutine, the owner, calls all methods of a Pool. Each connection has one goroutine that reads and one that
// writes. These two only post functions to the owner.
package enginepool
