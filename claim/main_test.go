package claim

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that CI runs are reproducible,
// and increases their number of checks and steps. Flags on the command line
// override these values.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261", "rapid.checks": "4000", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
