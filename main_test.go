package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"bambooweir.example/bambooweir/scripter"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"bambooweir": main})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scenarios", Setup: scripter.Setup, Cmds: scripter.Commands(),
	})
}
