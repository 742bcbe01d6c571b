// Package document reads tables of a TOML file by hand-written codecs and collects all findings with their places.
package document
