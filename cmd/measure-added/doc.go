// Command measure-added measures the time that an entry VM adds to a call.
//
// It starts the platform's stand-in, one upstream without service time and one entry VM as processes, sends every
// second call straight to the upstream, and prints one line for each run: the load average, the latencies of both
// ways, their differences, and what a call costs the entry process. The differences are those of the quantiles of
// both ways in the same run.
package main
