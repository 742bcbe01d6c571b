// Package fairshare tells which organisations got more of a service lately than others, by the requests of one VM.
//
// A VM gets few requests, so that the counts of an organisation with little demand are 0 or 1. They don't rank such
// organisations; they tell them from one that got several times as much.
package fairshare
