// Package aggregate sums up the counts that other VMs report.
//
// A report states the counts of slots, which replace those that the same reporter stated for them before. A lost or repeated report
// therefore does no harm, and a VM that reports to another receiver brings its window along.
package aggregate
