// Package kernel holds the services of a process, which find each other by name.
//
// Every service is also a kratos transport server, so that a kratos application starts and stops it.
package kernel
