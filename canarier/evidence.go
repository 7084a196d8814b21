package canarier

import (
	"math/bits"
	"time"
)

// runBuckets is the number of buckets of Counts.Runs. Two consecutive ones cover a doubling of
// the run time; the last holds all longer ones.
const runBuckets = 26

// Counts counts the answers that targets of one version gave on one route.
type Counts struct {
	_ struct{} `cbor:",toarray"`
	// Answers counts all answers, Failures those that are server errors or never came.
	Answers, Failures uint32
	// Runs counts the run times of the answers of targets that had warmed up, by runBucket.
	Runs [runBuckets]uint32
}

// Evidence identifies counts and holds them. It is sent towards the leader as increments.
type Evidence struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Revision is that of the order.
	Revision uint64
	Route    string
	// IsNew tells the new version's targets from all others.
	IsNew  bool
	Counts Counts
}

// Observe counts one answer. A target that is still warming up says nothing about how slow its
// version is.
func (c *Counts) Observe(failed, isWarm bool, took time.Duration) {
	c.Answers++
	if failed {
		c.Failures++
	}
	if isWarm {
		c.Runs[runBucket(took)]++
	}
}

// Add adds other counts.
func (c *Counts) Add(other *Counts) {
	c.Answers += other.Answers
	c.Failures += other.Failures
	for i, n := range other.Runs {
		c.Runs[i] += n
	}
}

// runBucket returns the bucket of a run time: 0 below 1 ms, then two for each doubling.
func runBucket(took time.Duration) int {
	us := uint64(max(0, took.Microseconds()))
	if us < 1000 {
		return 0
	}
	doublings := bits.Len64(us/1000) - 1
	bucket := 2*doublings + 1
	// The second half of a doubling begins at its start times the square root of two.
	if us*1000 >= (uint64(1)<<doublings)*1_414_214 {
		bucket++
	}
	return min(bucket, runBuckets-1)
}
