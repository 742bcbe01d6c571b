// Package gatewayconfig writes settings files of gateways that run on this machine, for demos and tests.
package gatewayconfig
