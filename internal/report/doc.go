// Package report writes an HTML page with charts of the metrics that a collector received. The page is self-contained;
// the charts with the most severe problems come first.
package report
