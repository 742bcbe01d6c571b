// Package identity finds the organisation of a request by the key that its caller sends, or by the name that another VM states.
//
// A VM says that a key is unknown only while its rules are known to be in force, because newer ones may hold the key. It accepts a
// key only while its rules are younger than the time within which a key that was taken away must not be accepted any more.
package identity
