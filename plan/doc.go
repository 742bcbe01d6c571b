// Package plan determines, from a configuration and the membership, where an entry VM sends the requests of each service.
//
// A new plan is built after each change of either, so that request handling only reads it.
package plan
