// Command measure-added measures the time that an entry VM adds to a call.
//
// It starts a stand-in for the platform, one upstream without service time and one entry VM as processes and sends every
// second call directly to the upstream. It prints one line for each run: the load average, the latency quantiles of direct
// calls and of calls through the entry VM, the differences of these quantiles within the run, and the CPU time and
// allocations of the entry process for each call.
package main
