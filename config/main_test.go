package config_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property test, so that each run of CI has the
// same result. Set -rapid.seed and -rapid.checks to test other sequences.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
