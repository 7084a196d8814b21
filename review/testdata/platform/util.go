package main

import (
	"sort"
	"strconv"
	"time"
)

func sortRuns(rs []run) { sort.Slice(rs, func(i, j int) bool { return rs[i].at.Before(rs[j].at) }) }

func sortTimes(ts []time.Time) { sort.Slice(ts, func(i, j int) bool { return ts[i].Before(ts[j]) }) }

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
