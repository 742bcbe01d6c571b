package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// Exit statuses; see the package comment.
const (
	statusOK          = 0
	statusRefused     = 1
	statusUnavailable = 2
)

type commands struct {
	Run     runCommand     `cmd:"" help:"Run an entry VM's process."`
	Gateway gatewayCommand `cmd:"" help:"Run an entry VM's process for plain HTTP callers, with the rules in the platform's store."`
	Check   checkCommand   `cmd:"" help:"Check an operators' file and print all findings."`
	Submit  submitCommand  `cmd:"" help:"Submit an operators' file."`
	Show    showCommand    `cmd:"" help:"Show the configuration in force."`
	Status  statusCommand  `cmd:"" help:"Show the status of an entry VM."`
	Call    callCommand    `cmd:"" help:"Send one call to a service."`
	Explain explainCommand `cmd:"" help:"Tell what became of a request from the logs of gateways."`
}

// output holds the standard streams that commands write to.
type output struct {
	stdout, stderr io.Writer
}

// exitError is an error with the exit status of the command.
type exitError struct {
	status int
	error
}

// withStatus returns the error with an exit status.
func withStatus(status int, err error) error {
	return exitError{status, err}
}

func main() {
	os.Exit(execute(os.Args[1:], output{os.Stdout, os.Stderr}))
}

// execute runs the command line and returns the exit status.
func execute(args []string, out output) int {
	var c commands
	// helpStatus is the exit status that kong asks for after it has printed the help, or else -1.
	helpStatus := -1
	parser, err := kong.New(&c, kong.Name("fulmarhitch"), kong.Writers(out.stdout, out.stderr),
		kong.Exit(func(status int) { helpStatus = status }), kong.Bind(out))
	if err != nil {
		fmt.Fprintln(out.stderr, err)
		return statusUnavailable
	}
	command, err := parser.Parse(args)
	if helpStatus >= 0 {
		return helpStatus
	}
	if err != nil {
		fmt.Fprintln(out.stderr, err)
		return 80
	}
	if err = command.Run(); err == nil {
		return statusOK
	}
	fmt.Fprintln(out.stderr, err)
	var exitErr exitError
	if errors.As(err, &exitErr) {
		return exitErr.status
	}
	return statusUnavailable
}
