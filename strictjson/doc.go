// Package strictjson decodes JSON from other processes strictly.
//
// Unknown fields, data after the value and input above the limit are errors. A lenient decoder would decode a response of
// another protocol as zero values.
package strictjson
