// Command load sends a bounded open-loop load to the entry VMs and reports outcomes and latencies by kind.
//
// It prints a table and then one line of JSON. The exit status is 0 after a run, 1 for a bad flag or file, and 2 if
// any answer was mismatched.
package main
