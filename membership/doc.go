// Package membership finds the place of this VM in the fleet: whom it follows, whether it is registered in the store as a
// relay, and what it tells the others about itself.
package membership
