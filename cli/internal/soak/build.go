package soak

import (
	"context"
	"fmt"
	"os/exec"
)

// daemonPackage is the program that a soak runs.
const daemonPackage = "github.com/wheelcleat/wheelcleat/daemon/cmd/wheelcleatd"

// Build compiles the daemon into a file. It needs the repository and the Go tools.
func Build(ctx context.Context, path string) error {
	text, err := exec.CommandContext(ctx, "go", "build", "-o", path, daemonPackage).CombinedOutput() //nolint:gosec // whoever calls names the file
	if err != nil {
		return fmt.Errorf("build wheelcleatd: %w: %s", err, text)
	}
	return nil
}
