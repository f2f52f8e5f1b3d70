// Package graphite encodes and decodes metrics in the protocols that carbon accepts: plaintext, with or without the
// tags of Graphite 1.1, and pickle. It operates on byte slices and does no I/O.
package graphite
