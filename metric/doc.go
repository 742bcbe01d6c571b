// Package metric holds the metrics of an entry VM. Durations are exported in seconds.
//
// Label sets are bounded by the configuration in force: Update adds and removes tenants, classes and groups, and
// everything else is counted under the label value "other".
//
//	metric, after "fulmarhitch_"  kind       labels
//	call_duration_seconds         histogram  tenant, class, outcome
//	queue_wait_seconds            histogram  tenant, class
//	added_seconds                 histogram  tenant, class
//	outcomes_total                counter    tenant, class, outcome, reason
//	retries_total, spills_total   counter    tenant, class
//	probes_total                  counter
//	store_calls_total             counter    operation
//	events_total                  counter    kind
//	generation, members           gauge
//	ledger_keys                   gauge
//	free_slots, waiting           gauge      group
package metric
