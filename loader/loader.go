// Package loader reads the settings of a daemon's process from a TOML file.
//
// A setting is one field of Daemon, one row of the table in settings.go and one
// row of docs/SETTINGS.md; tests check that the three agree.
package loader

import (
	"io"
	"os"
	"time"

	"github.com/joomcode/errorx"

	"bambooweir.example/bambooweir/decoder"
)

// Daemon holds the settings of one daemon. Rows documents them and has their
// defaults.
//
// Invariant: every field of a value that Load returns satisfies its row's check.
type Daemon struct {
	InstanceID           string `toml:"instance-id"`
	FailureDomain        string `toml:"failure-domain"`
	CallerAddress        string `toml:"caller-address"`
	PeerAddress          string `toml:"peer-address"`
	PeerListenAddress    string `toml:"peer-listen-address"`
	OperatorAddress      string `toml:"operator-address"`
	StoreURL             string `toml:"store-url"`
	StoreTimeoutMS       int    `toml:"store-timeout-ms"`
	LogLevel             string `toml:"log-level"`
	BootstrapTokenSHA256 string `toml:"bootstrap-token-sha256"`
	ChangeTimeoutMS      int    `toml:"change-timeout-ms"`
	HeadBytes            int    `toml:"head-bytes"`
	HistoryVersions      int    `toml:"history-versions"`
	SpreadMode           string `toml:"spread-mode"`
	SpreadFanout         int    `toml:"spread-fanout"`
	SpreadCoalesceMS     int    `toml:"spread-coalesce-ms"`
	SpreadHeartbeatMS    int    `toml:"spread-heartbeat-ms"`
	SpreadPollMS         int    `toml:"spread-poll-ms"`
	RelayLeaseMS         int    `toml:"relay-lease-ms"`
	FreshnessMS          int    `toml:"freshness-ms"`
	PeerSeeds            string `toml:"peer-seeds"`

	Platform             bool    `toml:"platform"`
	ReadyAddress         string  `toml:"ready-address"`
	MetricsAddress       string  `toml:"metrics-address"`
	TargetService        string  `toml:"target-service"`
	TargetHeartbeatMS    int     `toml:"target-heartbeat-ms"`
	StopLimitS           float64 `toml:"stop-limit-s"`
	TargetHeadBytes      int     `toml:"target-head-bytes"`
	TargetBufferBytes    int     `toml:"target-buffer-bytes"`
	RetryBudgetRatio     float64 `toml:"retry-budget-ratio"`
	SpillRatio           float64 `toml:"spill-ratio"`
	NearBytes            int     `toml:"near-bytes"`
	RetryBudgetWindowS   float64 `toml:"retry-budget-window-s"`
	RetryBudgetAllowance float64 `toml:"retry-budget-allowance"`
	QuotaWindowS         float64 `toml:"quota-window-s"`
	QuotaOverRatio       float64 `toml:"quota-over-ratio"`
	QuotaSlack           float64 `toml:"quota-slack"`
	ExposureShare        float64 `toml:"exposure-share"`
	ExposureAllowance    float64 `toml:"exposure-allowance"`
	RollbackMS           int     `toml:"rollback-ms"`
	MemoryMB             float64 `toml:"memory-mb"`
	LinkMbps             float64 `toml:"link-mbps"`
}

// Milliseconds converts the value of a setting whose name ends in -ms.
func Milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Load reads the settings file at path. It fails with a *decoder.InvalidError
// that holds every problem of the content.
func Load(path string) (*Daemon, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errorx.Decorate(err, "opening settings")
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, decoder.MaxFileBytes+1))
	if err != nil {
		return nil, errorx.Decorate(err, "reading settings")
	}
	return Parse(path, b)
}

// Parse reads the settings in the content of the file called name. It fails as
// Load does.
func Parse(name string, b []byte) (*Daemon, error) {
	d := Defaults()
	f := decoder.Decode(name, b, d)
	if !f.IsBroken() {
		checkValues(f, d)
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return d, nil
}
