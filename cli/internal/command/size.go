package command

import (
	"fmt"
	"strconv"
	"strings"
)

// sizeUnits are the units of ParseSize. "B" is last because it is a suffix of the others.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{
	{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1},
}

// ParseSize parses a positive size with a unit, such as "64MiB", of at most 1 TiB.
func ParseSize(text string) (int64, error) {
	for _, unit := range sizeUnits {
		digits, ok := strings.CutSuffix(text, unit.suffix)
		if !ok {
			continue
		}
		count, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || count <= 0 || count > (1<<40)/unit.bytes {
			break
		}
		return count * unit.bytes, nil
	}
	return 0, fmt.Errorf("%q is not a valid size; use an integer and B, KiB, MiB or GiB, such as \"64MiB\"", text)
}
