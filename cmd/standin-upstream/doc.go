// Command standin-upstream runs a stand-in for one upstream instance.
//
// It logs one JSON line with its address once it listens, and exits with status 3 on a crash request.
package main
