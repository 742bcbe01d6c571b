// Package allotment divides the limits of the fleet among its VMs without agreement between them.
package allotment
