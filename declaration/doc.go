// Package declaration is the operators' file: the services, their upstreams and how work may be spread.
//
// Durations are time.Duration values; rates are per second; shares are fractions from 0 to 1.
package declaration
