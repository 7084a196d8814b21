package checker

import "fmt"

// maxShownPerInvariant is the number of violations of each invariant that a
// summary lists.
const maxShownPerInvariant = 3

// Summarize returns one line for each of the first violations of every invariant,
// followed by the number of further violations per invariant.
func Summarize(violations []Violation) []string {
	var lines []string
	counts := make(map[Invariant]int)
	var order []Invariant
	for _, v := range violations {
		if counts[v.Invariant] == 0 {
			order = append(order, v.Invariant)
		}
		if counts[v.Invariant]++; counts[v.Invariant] <= maxShownPerInvariant {
			lines = append(lines, v.String())
		}
	}
	for _, i := range order {
		if more := counts[i] - maxShownPerInvariant; more > 0 {
			lines = append(lines, fmt.Sprintf("%s: %d more", i, more))
		}
	}
	return lines
}
