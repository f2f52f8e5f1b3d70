// Package report makes one page of charts of what a collector received: a single HTML file that needs nothing
// else. What is worst comes first.
package report
