// Package gctune lets a small heap grow further between two garbage collections.
//
// By default, the runtime collects a heap when it has doubled. A process with a few MB of live objects then collects
// several times a second under load, which takes about a tenth of its processor time.
package gctune
