// Package metric holds the metrics of an entry VM. Durations are exported in seconds.
//
// Label sets are bounded by the configuration in force: Update adds and removes tenants, classes and groups, and
// everything else is counted under the label value "other".
package metric
