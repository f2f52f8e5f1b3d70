// Package graphite writes and reads figures in the forms that carbon accepts: the plaintext protocol, with
// the tags of Graphite 1.1 or without, and the pickle protocol. It works on bytes and does no I/O.
package graphite
