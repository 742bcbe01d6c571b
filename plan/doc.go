// Package plan derives from a configuration and the membership where an entry VM sends each service's requests.
//
// A plan is built anew after each change of either, so that the data path only reads it.
package plan
