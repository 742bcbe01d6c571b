// Package selection estimates the cost of a request at each upstream and selects the cheapest one.
package selection
