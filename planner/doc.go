// Package planner keeps an entry VM's plan up to date with the configuration in force and the membership, and passes the
// events of peers to the services that use them.
package planner
