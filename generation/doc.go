// Package generation holds the configuration in force, whose generation never decreases.
package generation
