package placement

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/standin/program"
)

// Placement is one gateway's settings file and the addresses in it.
type Placement struct {
	// File is the path of the settings file.
	File string
	// Address is for callers, ReadyAddress for readiness checks, DirectoryAddress for callers that ask for addresses.
	Address, ReadyAddress, DirectoryAddress string
}

// New writes the settings of a gateway of failure domain "zone-a" with free addresses into the folder; more are lines to
// add.
func New(folder, name, store, more string) (Placement, error) {
	p := Placement{File: filepath.Join(folder, name+".toml")}
	text := fmt.Sprintf("name = %q\nfailure-domain = \"zone-a\"\nstore-address = %q\nretry-burst = 40\nquestions-per-second = 500\n%s",
		name, store, more)
	for _, setting := range []string{"address", "ready-address", "directory-address", "peer-address", "metrics-address"} {
		address, err := program.FreeAddress()
		if err != nil {
			return Placement{}, err
		}
		text += fmt.Sprintf("%s = %q\n", setting, address)
		switch setting {
		case "address":
			p.Address = address
		case "ready-address":
			p.ReadyAddress = address
		case "directory-address":
			p.DirectoryAddress = address
		}
	}
	return p, errors.Wrap(os.WriteFile(p.File, []byte(text), 0o600), "placement")
}
