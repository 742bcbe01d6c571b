// Package steer answers which addresses callers of a service use.
package steer
