// Package planner keeps an entry VM's plan in line with the configuration in force and the membership, and hands the
// events of peers to the services that they concern.
package planner
