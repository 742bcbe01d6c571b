// Package timeline collects the log lines of one request from the logs of several VMs and prints them in order of time.
package timeline
