// Package document reads settings from the tables of a TOML file and collects all findings with their positions.
package document
