// Package generation holds the configuration in force, which never goes back.
package generation
