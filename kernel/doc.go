// Package kernel starts and stops the services of a process and provides a lookup of them by name.
//
// A Kernel and every Service are kratos transport servers, so that a kratos application can start and stop them.
package kernel
