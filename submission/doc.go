// Package submission accepts operators' configuration files by compare-and-swap in the store.
package submission
