// Package selection decides which upstream a request is sent to.
package selection
