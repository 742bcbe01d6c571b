// Package group runs the dispatchers of the groups that an entry VM serves and records the health of their upstreams.
package group
