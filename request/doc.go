// Package request describes the work that a caller asks for.
package request
