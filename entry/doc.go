// Package entry assembles the services of an entry VM's process and runs them as a kratos application.
package entry
