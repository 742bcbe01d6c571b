// Package request defines the request of a caller.
package request
