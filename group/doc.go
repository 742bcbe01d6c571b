// Package group keeps the dispatchers of the groups that an entry VM serves and what is known of their upstreams.
package group
