// Package settings reads the settings of one entry VM's process.
package settings
