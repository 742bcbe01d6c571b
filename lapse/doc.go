// Package lapse holds entries that the store may lose during an outage although what they name lives on.
//
// A removed entry stays for a grace period after the store's return, in which it may be registered again.
package lapse
