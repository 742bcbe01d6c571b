package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// Exit statuses.
const (
	done        = 0
	refused     = 1
	unavailable = 2
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

// output is where commands write.
type output struct {
	stdout, stderr io.Writer
}

// failure is an error with an exit status.
type failure struct {
	status int
	error
}

func fail(status int, err error) error {
	return failure{status, err}
}

func main() {
	os.Exit(execute(os.Args[1:], output{os.Stdout, os.Stderr}))
}

// execute runs the command line and returns the exit status.
func execute(args []string, out output) int {
	var c commands
	// exited keeps the status with which kong ends after printing the help.
	exited := -1
	parser, err := kong.New(&c, kong.Name("fulmarhitch"), kong.Writers(out.stdout, out.stderr),
		kong.Exit(func(status int) { exited = status }), kong.Bind(out))
	if err != nil {
		fmt.Fprintln(out.stderr, err)
		return unavailable
	}
	command, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintln(out.stderr, err)
		return 80
	}
	if err = command.Run(); err == nil {
		return done
	}
	fmt.Fprintln(out.stderr, err)
	var f failure
	if errors.As(err, &f) {
		return f.status
	}
	return unavailable
}
