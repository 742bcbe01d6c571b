// Package scarcity estimates from the recent requests of one VM how many of those that find no free slot are served after a wait.
package scarcity
