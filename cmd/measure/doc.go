// Command measure compares the decisions of the homes with a central queue of perfect knowledge and with simple
// policies, in virtual time.
package main
