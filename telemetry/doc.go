// Package telemetry holds the metrics of a gateway, an entry VM that routes requests by rules.
//
//	fulmarhitch_request_duration_seconds{rule,outcome}  histogram of the time from receipt to outcome
//	fulmarhitch_requests_total{rule,outcome,reason}     outcomes of forwarded requests
//	fulmarhitch_refusals_total{status}                  requests that were not forwarded
//	fulmarhitch_identity_refusals_total{reason}         refusals because of the key, the organisation or its limit
//	fulmarhitch_organisation_requests_total{organisation,outcome}  requests of organisations; outcome "refused" if not forwarded
//	fulmarhitch_promises_total{status,origin}           answers that tell callers that their request did not run, by who decided it
//	fulmarhitch_attempts_total{rule,end}                attempts by the way they ended
//	fulmarhitch_idle_closes_total                       connections of callers that were closed because they were idle
//	fulmarhitch_connection_refusals_total{reason}       connections that were closed before a request was read from them
//	fulmarhitch_caller_connections                      open connections of callers
//	fulmarhitch_head_bytes                              memory held for heads of requests
//	fulmarhitch_hedges_total{rule}                      hedges: second attempts while the first was in progress
//	fulmarhitch_slots_left_total{rule,order}            requests that left a free slot: to more-urgent, less-served or in-time ones
//	fulmarhitch_questions_total                         polls of health endpoints
//	fulmarhitch_store_calls_total{purpose}              calls of the store: search, read, watch, register, renew, release, death, size
//	fulmarhitch_body_bytes                              memory held by bodies of requests and answers
//	fulmarhitch_body_evictions_total                    unfinished bodies that were cut off because memory was used up
//	fulmarhitch_rules_version                           version of the rules in force
//	fulmarhitch_store_age_seconds                       time since the last contact with the store
//	fulmarhitch_store_era, fulmarhitch_store_revision   history of the store, and revision up to which it is known
//	fulmarhitch_upstreams, fulmarhitch_vms              known upstreams and VMs
//	fulmarhitch_evacuated_domains                       failure domains that are evacuated
//	fulmarhitch_evacuated_upstreams                     upstreams that get no requests for that reason
//	fulmarhitch_cold_upstreams                          upstreams that are cold
//	fulmarhitch_cold_held_total                         requests that the warm-up rate of a cold upstream kept from it
//	fulmarhitch_upstream_notices{kind}                  upstreams that state a limit, that they leave, or that they want no requests
//	fulmarhitch_limit_requests_total{decision}          requests of organisations with limits: admitted, refused, refused-without-share
//	fulmarhitch_limit_reports_total{result}             reports about limits to other VMs: sent, and failed among them
//	fulmarhitch_limit_share_age_seconds                 age of the shares of the limits, or -1
//	fulmarhitch_limit_coordinator                       1 if this VM decides the shares, else 0
//	fulmarhitch_log_dropped_total                       log lines lost because standard output was blocked
package telemetry
