// Package envelope defines the stored form of the configuration.
//
// It is JSON with kebab-case fields; the operators' text is compressed by zstd.
package envelope
