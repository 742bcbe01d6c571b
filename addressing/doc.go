// Package addressing selects the entry VM addresses that a caller of a service should use.
package addressing
