// Package response tells sound HTTP/1 responses from broken ones, which net/http accepts in part.
package response
