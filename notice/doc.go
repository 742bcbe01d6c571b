// Package notice holds what upstreams state about themselves in their answers and what binds this VM for a time: a limit of
// requests, that they leave, and a time in which they want no requests.
package notice
