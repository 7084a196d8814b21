package checker

import "fmt"

// maxShown is the number of violations of one invariant that a summary shows.
const maxShown = 3

// Summarize returns the first violations of each invariant, and how many more
// there are.
func Summarize(violations []Violation) []string {
	var lines []string
	counts := make(map[Invariant]int)
	var order []Invariant
	for _, v := range violations {
		if counts[v.Invariant] == 0 {
			order = append(order, v.Invariant)
		}
		if counts[v.Invariant]++; counts[v.Invariant] <= maxShown {
			lines = append(lines, v.String())
		}
	}
	for _, i := range order {
		if more := counts[i] - maxShown; more > 0 {
			lines = append(lines, fmt.Sprintf("%s: %d more", i, more))
		}
	}
	return lines
}
