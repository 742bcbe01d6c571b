// Package buffer bounds the memory that the bodies of requests and answers take together in one process.
//
// Bodies are held until they are complete. One that grows without end is cut off before small ones have to wait.
package buffer
