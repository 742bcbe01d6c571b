package gatewayconfig

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/fulmarhitch/fulmarhitch/standin/program"
)

// Gateway is a gateway's settings file and addresses from it.
type Gateway struct {
	// File is the path of the settings file.
	File string
	// Address serves callers, ReadyAddress readiness checks, and DirectoryAddress look-ups of addresses.
	Address, ReadyAddress, DirectoryAddress string
}

// New writes the settings of a gateway in failure domain "zone-a" with free addresses to the file name.toml in the
// folder; extra holds further lines of settings.
func New(folder, name, store, extra string) (Gateway, error) {
	p := Gateway{File: filepath.Join(folder, name+".toml")}
	text := fmt.Sprintf("name = %q\nfailure-domain = \"zone-a\"\nstore-address = %q\nretry-burst = 40\nquestions-per-second = 500\n%s",
		name, store, extra)
	for _, setting := range []string{"address", "ready-address", "directory-address", "peer-address", "metrics-address"} {
		address, err := program.FreeAddress()
		if err != nil {
			return Gateway{}, err
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
