// Package ruleset represents one version of the routing rules and finds the rule for a request.
package ruleset
