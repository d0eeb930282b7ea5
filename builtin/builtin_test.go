package builtin

import (
	"net"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"bergamotstile": func() { os.Exit(Main(os.Args[1:])) },
	})
}

// TestScripts runs the scripts in testdata/script. The head of each script says
// what it guards against. TAKEN is an address on which the test itself listens,
// and FREE one that was free when the test began.
func TestScripts(t *testing.T) {
	taken := listenOnLoopback(t)
	free := listenOnLoopback(t)
	if err := free.Close(); err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("TAKEN", taken.Addr().String())
			env.Setenv("FREE", free.Addr().String())
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"envsubst": envsubst},
	})
}

// envsubst implements a script command that replaces the environment variables
// in a file by their values.
func envsubst(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: envsubst FILE")
	}
	file := ts.MkAbs(args[0])
	ts.Check(os.WriteFile(file, []byte(os.Expand(ts.ReadFile(args[0]), ts.Getenv)), 0o644))
}

// listenOnLoopback listens on a free port of the loopback address until the test
// ends.
func listenOnLoopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}
