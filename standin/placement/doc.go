// Package placement writes the settings of a gateway that runs on this machine, for demos and tests.
package placement
