// Package entry builds an entry VM's process out of its services and runs it as a kratos application.
package entry
