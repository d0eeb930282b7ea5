package command

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bergamotstile/httpserver"
	"bergamotstile/preview"
)

// runIn runs a command line in a directory and returns its exit status and standard
// output.
func runIn(t *testing.T, dir string, args ...string) (int, string) {
	t.Helper()
	t.Chdir(dir)
	var out, errOut bytes.Buffer
	status := Run(context.Background(), args, Registry{}, &out, &errOut)
	return status, out.String()
}

func writeFile(t *testing.T, dir, name, content string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against examples in the documentation that are not what the command prints.
func TestPreviewPrintsTheDocumentedExamples(t *testing.T) {
	docs, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile("../examples/society.json")
	if err != nil {
		t.Fatal(err)
	}
	society, dir := string(data), t.TempDir()
	writeFile(t, dir, "society.json", society)
	writeFile(t, dir, "bad.json", strings.Replace(society, `"timeout_ms": 400`, `"timeout_ms": 4000`, 1))
	writeFile(t, dir, "few.json", strings.Replace(society, `"replicas": 8`, `"replicas": 3`, 1))
	writeFile(t, dir, "new.json", strings.NewReplacer(`"timeout_ms": 400`, `"timeout_ms": 300`, `"stock-watch"`, `"shelf-watch"`,
		`{"name": "stock",`, `{"name": "guests", "quota": {"cpu_milli": 64000, "memory_mb": 256000, "accelerators": 0}, "weight": 1}, {"name": "stock",`).Replace(society))
	cases := []struct {
		line   string
		status int
	}{
		{"preview new.json --in-force society.json", ExitFailure},
		{"preview bad.json", ExitFailure},
		{"preview few.json --in-force society.json --json", ExitSuccess},
	}
	for _, c := range cases {
		status, out := runIn(t, dir, strings.Fields(c.line)...)
		if status != c.status {
			t.Errorf("%s: status %d, want %d", c.line, status, c.status)
		}
		if want := "```\n$ bergamotstile " + c.line + "\n" + out + "```\n"; !strings.Contains(string(docs), want) {
			t.Errorf("docs/OPERATIONS.md does not contain\n%s", want)
		}
	}
}

// Guards against a rule that is not documented, or of which no script has a broken file.
func TestPreviewRulesAreDocumentedAndTested(t *testing.T) {
	docs, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	scripts, err := os.ReadFile("testdata/script/preview_faults.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, rule := range preview.Rules() {
		if !strings.Contains(string(scripts), `\[`+string(rule)+`\]$'`) {
			t.Errorf("rule %s has no case in preview_faults.txtar", rule)
		}
		if !strings.Contains(string(docs), "\n| `"+string(rule)+"` | ") {
			t.Errorf("rule %s is missing in docs/OPERATIONS.md", rule)
		}
	}
}

// Guards against a file above the limit of an apply that is reported as unreadable, or
// without an object in JSON.
func TestPreviewOfTooLargeFile(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, dir, "large.json", strings.Repeat(" ", httpserver.MaxBodyBytes+1))
	status, out := runIn(t, dir, "preview", "large.json", "--json")
	var report preview.Report
	if err := json.Unmarshal([]byte(out), &report); err != nil {
		t.Fatal(err)
	}
	if status != ExitFailure || len(report.Errors) != 1 || !strings.Contains(report.Errors[0].Detail, "is larger than") {
		t.Errorf("status %d, report %+v", status, report)
	}
}
