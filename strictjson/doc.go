// Package strictjson decodes JSON of other processes without tolerance.
//
// Unknown fields, data after the value and input above the limit are errors. A lenient decoder would turn an answer of
// another protocol into zero values.
package strictjson
