// Package submission accepts an operators' file by compare-and-swap of the store's configuration.
package submission
