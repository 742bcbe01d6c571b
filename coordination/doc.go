// Package coordination decides which reports a VM sends to which others so that the limits of organisations hold over the fleet,
// and answers the reports of others, without any network.
//
// A VM reports its counts to a relay of its failure domain. A relay reports its sums to the first relay of the fleet that it
// reaches. That one, the coordinator, decides the shares, which go back with the answers.
package coordination
