package e2e

import (
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// buildLine is the line of deploy/system.toml with the command of the build.
var buildLine = regexp.MustCompile(`(?m)^build = "(.*)"$`)

// copyCheckout copies the files of the repository to dir, without what git and builds leave.
func copyCheckout(t *testing.T, dir string) {
	t.Helper()
	root := os.DirFS("../..")
	err := fs.WalkDir(root, ".", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if slices.Contains([]string{".git", "target", "journal", ".ci/bin"}, path) {
				return fs.SkipDir
			}
			return os.MkdirAll(filepath.Join(dir, path), 0o755)
		}
		b, err := fs.ReadFile(root, path)
		if err != nil {
			return err
		}
		i, err := d.Info()
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(dir, path), b, i.Mode().Perm())
	})
	if err != nil {
		t.Fatal(err)
	}
}

// goEnv returns a variable of the go command.
func goEnv(t *testing.T, name string) string {
	t.Helper()
	b, err := exec.Command("go", "env", name).Output()
	if err != nil {
		t.Fatal(err)
	}
	return name + "=" + strings.TrimSpace(string(b))
}

// TestDeployBuild: the cases in review/ could not run where their own build failed: offline, or
// in a checkout that git does not accept. The build of deploy/system.toml alone has to leave all
// programs that they start.
func TestDeployBuild(t *testing.T) {
	dir := t.TempDir()
	copyCheckout(t, dir)
	// git fails in a checkout that belongs to another user, as it does in this one.
	if err := os.Mkdir(filepath.Join(dir, ".git"), 0o755); err != nil {
		t.Fatal(err)
	}
	deploy, err := os.ReadFile(filepath.Join(dir, "deploy", "system.toml"))
	if err != nil {
		t.Fatal(err)
	}
	m := buildLine.FindSubmatch(deploy)
	if m == nil {
		t.Fatal("deploy/system.toml has no build")
	}
	c := exec.Command("sh", "-c", string(m[1]))
	c.Dir = dir
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + t.TempDir(), "GOENV=off", "GOPROXY=off", "GOTOOLCHAIN=local", goEnv(t, "GOMODCACHE"), goEnv(t, "GOCACHE")}
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("the build failed: %v\n%s", err, out)
	}
	for _, program := range []string{"egrethaven", "review/harness", "review/stand2"} {
		i, err := os.Stat(filepath.Join(dir, "target", program))
		if err != nil || i.Mode().Perm()&0o100 == 0 {
			t.Errorf("target/%s is no program: %v", program, err)
		}
	}
}
