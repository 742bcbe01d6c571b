// Package ratelimit holds the limits of organisations over all VMs without a store.
//
// It admits the requests at this VM and exchanges reports with other VMs in one call. Packages gate and coordination decide.
package ratelimit
