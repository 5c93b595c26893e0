package soak

import (
	"context"
	"fmt"
	"os/exec"
)

// daemonPackage is the import path of the daemon under test.
const daemonPackage = "github.com/wheelcleat/wheelcleat/daemon/cmd/wheelcleatd"

// Build compiles the daemon into a file. It must run within the repository, with the Go
// tools in the path.
func Build(ctx context.Context, path string) error {
	text, err := exec.CommandContext(ctx, "go", "build", "-o", path, daemonPackage).CombinedOutput() //nolint:gosec // the path comes from the caller
	if err != nil {
		return fmt.Errorf("build wheelcleatd: %w: %s", err, text)
	}
	return nil
}
