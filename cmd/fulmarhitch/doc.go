// Command fulmarhitch runs the process of an entry VM, with the commands run and gateway, and provides the commands for
// operators and callers.
//
// Exit statuses of all commands but run and gateway:
//
//	0   in force, answered, or no findings
//	1   refused, not run, or findings
//	2   unknown or unavailable; the operation may have taken effect
//	80  the command line can't be parsed
//
// After status 2 of submit, submit the same file again with the same base and the same --id. After status 2 of call,
// repeat a non-idempotent call with --repeat-key.
package main
