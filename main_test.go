package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	pollBound    = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"bambooweir": main})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scenarios",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ports":    ports,
			"poll":     poll,
			"envsubst": envsubst,
		},
	})
}

// ports sets each named variable to a free address on the loopback interface.
func ports(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		ts.Check(err)
		ts.Setenv(name, l.Addr().String())
		ts.Check(l.Close())
	}
}

// envsubst replaces the variables in files by their values.
func envsubst(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		content := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(content), 0o600))
	}
}

// poll METHOD URL REGEXP repeats a request until its answer matches.
func poll(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: poll METHOD URL REGEXP")
	}
	want := regexp.MustCompile(args[2])
	deadline := time.Now().Add(pollBound)
	for {
		got := fetch(args[0], args[1])
		if want.MatchString(got) {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s %s: got %q, want match for %q", args[0], args[1], got, args[2])
		}
		time.Sleep(pollInterval)
	}
}

func fetch(method, url string) string {
	req, err := http.NewRequest(method, url, strings.NewReader(os.Getenv("BODY")))
	if err != nil {
		return err.Error()
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %s", res.StatusCode, b)
}
