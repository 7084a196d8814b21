package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"bambooweir.example/bambooweir/scripter"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"bambooweir": main})
}

// TestScenarios runs every script in testdata/scenarios; "exec bambooweir" in a
// script runs this test binary as the command.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scenarios", Setup: scripter.Setup, Cmds: scripter.Commands(),
	})
}
