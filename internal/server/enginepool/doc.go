// Package enginepool keeps the connections to engines and sends attempts and load probes on them. It has a few
// connections to each engine, multiplexes streams on each, withdraws what has not left, checks connections that went
// silent, and turns what engines answer into events of the reducer. It decides nothing that the reducer could: which
// engine an attempt goes to, and whether it is repeated, is not known here.
//
// One goroutine, the owner, calls all methods of a Pool. Each connection has one goroutine that reads and one that
// writes; these only post functions to the owner.
package enginepool
