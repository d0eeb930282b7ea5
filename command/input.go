package command

import (
	"fmt"
	"io"
	"maps"
	"net/netip"
	"os"
	"slices"

	"bergamotstile/declaration"
	"bergamotstile/httpserver"
	"bergamotstile/settings"
)

// readInput reads a file that the server would accept by size.
func readInput(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, misuse("%v", err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, httpserver.MaxBodyBytes+1))
	if err != nil {
		return nil, misuse("%v", err)
	}
	if len(data) > httpserver.MaxBodyBytes {
		return nil, refused("%s is larger than %d bytes", path, httpserver.MaxBodyBytes)
	}
	return data, nil
}

// loadFile reads, decodes and checks a file. Its errors tell a file that cannot be
// read from one that is refused.
func loadFile[T any](path string, decode func([]byte) (*T, error), check func(*T) error) (*T, error) {
	data, err := readInput(path)
	if err != nil {
		return nil, err
	}
	content, err := decode(data)
	if err == nil {
		err = check(content)
	}
	if err != nil {
		return nil, refused("%s is refused:\n%v", path, err)
	}
	return content, nil
}

func loadSettings(path string) (*settings.Settings, error) {
	return loadFile(path, settings.Decode, (*settings.Settings).Check)
}

func loadDeclaration(path string, limits declaration.Limits) (*declaration.Deployment, error) {
	check := func(d *declaration.Deployment) error { return d.Check(limits) }
	return loadFile(path, declaration.Decode, check)
}

// checkAddress refuses host names: processes are addressed by IP numbers.
func checkAddress(option, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return misuse("%s must be an IP number and a port such as 127.0.0.1:7000, not %q", option, address)
	}
	return nil
}

func checkAddresses(options map[string]string) error {
	for _, option := range slices.Sorted(maps.Keys(options)) {
		if err := checkAddress(option, options[option]); err != nil {
			return err
		}
	}
	return nil
}

func printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...)
}
