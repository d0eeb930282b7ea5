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

// readLimitedFile reads a file. It refuses a file that is larger than
// httpserver.MaxBodyBytes, the largest request body that an instance accepts.
func readLimitedFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, usageErrorf("%v", err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, httpserver.MaxBodyBytes+1))
	if err != nil {
		return nil, usageErrorf("%v", err)
	}
	if len(data) > httpserver.MaxBodyBytes {
		return nil, failureErrorf("%s is larger than %d bytes", path, httpserver.MaxBodyBytes)
	}
	return data, nil
}

// loadFile reads, decodes and checks a file. The error is a usageError if the file
// cannot be read, and a failureError if the file is too large, cannot be decoded
// or fails the check.
func loadFile[T any](path string, decode func([]byte) (*T, error), check func(*T) error) (*T, error) {
	data, err := readLimitedFile(path)
	if err != nil {
		return nil, err
	}
	content, err := decode(data)
	if err == nil {
		err = check(content)
	}
	if err != nil {
		return nil, failureErrorf("%s is refused:\n%v", path, err)
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

// checkAddress returns a usage error that names the option unless address is an
// IP address and a port. Host names are refused, because all processes are
// addressed by IP address.
func checkAddress(option, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return usageErrorf("%s must be an IP number and a port such as 127.0.0.1:7000, not %q", option, address)
	}
	return nil
}

// checkAddresses checks the addresses, which are given by option, in the order
// of the options' names. It returns the first error.
func checkAddresses(options map[string]string) error {
	for _, option := range slices.Sorted(maps.Keys(options)) {
		if err := checkAddress(option, options[option]); err != nil {
			return err
		}
	}
	return nil
}

// printf prints to out and ignores errors of writing.
func printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...)
}
