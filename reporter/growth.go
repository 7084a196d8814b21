package reporter

import (
	"math"
	"strconv"
	"strings"
)

// Quantity is a load or a time that a sweep measured at several sizes of the fleet.
type Quantity struct {
	// Name is that of the bench, with the unit.
	Name string `json:"name"`
	// Machines holds the sizes; Middle and Busiest hold the median and the largest value of
	// the daemons at each of them.
	Machines []float64 `json:"machines"`
	Middle   []float64 `json:"middle"`
	Busiest  []float64 `json:"busiest"`
}

// Power returns the power of the number of machines with which the busiest value grows, by the
// least squares of the logarithms. It returns 0 if a value is 0 or there is only one.
func (q Quantity) Power() float64 {
	n, sumX, sumY, sumXX, sumXY := 0.0, 0.0, 0.0, 0.0, 0.0
	for i, machines := range q.Machines {
		if q.Busiest[i] <= 0 || machines <= 0 {
			return 0
		}
		x, y := math.Log(machines), math.Log(q.Busiest[i])
		n, sumX, sumY, sumXX, sumXY = n+1, sumX+x, sumY+y, sumXX+x*x, sumXY+x*y
	}
	if d := n*sumXX - sumX*sumX; d > 0 {
		return (n*sumXY - sumX*sumY) / d
	}
	return 0
}

// At returns the busiest value that Power leads to from the largest size that was played.
func (q Quantity) At(machines float64) float64 {
	last := len(q.Machines) - 1
	if last < 0 {
		return 0
	}
	return q.Busiest[last] * math.Pow(machines/q.Machines[last], q.Power())
}

// growthHeading begins the table of a sweep in the digest of its entry.
const growthHeading = "middle / busiest"

// parseGrowth returns the quantities of the table in a sweep's digest. It returns none if there
// is no table, and leaves out rows with another shape.
func parseGrowth(digest string) []Quantity {
	_, table, ok := strings.Cut(digest, growthHeading)
	if !ok {
		return nil
	}
	lines := strings.Split(table, "\n")
	if len(lines) < 2 {
		return nil
	}
	var sizes []float64
	for _, field := range strings.Fields(lines[1]) {
		size, err := strconv.ParseFloat(field, 64)
		if err != nil {
			break // the column of the power
		}
		sizes = append(sizes, size)
	}
	var all []Quantity
	for _, line := range lines[2:] {
		if q, ok := parseQuantity(line, sizes); ok {
			all = append(all, q)
		}
	}
	return all
}

// parseQuantity returns the quantity of a row: a name, then "MIDDLE / BUSIEST" for each size.
func parseQuantity(line string, sizes []float64) (Quantity, bool) {
	name, rest, ok := strings.Cut(line, "  ")
	if !ok || name == "" || len(sizes) == 0 {
		return Quantity{}, false
	}
	q := Quantity{Name: name, Machines: sizes}
	fields := strings.Fields(rest)
	if len(fields) < 3*len(sizes) {
		return Quantity{}, false
	}
	for i := range sizes {
		middle, err1 := strconv.ParseFloat(fields[3*i], 64)
		busiest, err2 := strconv.ParseFloat(fields[3*i+2], 64)
		if err1 != nil || err2 != nil || fields[3*i+1] != "/" {
			return Quantity{}, false
		}
		q.Middle, q.Busiest = append(q.Middle, middle), append(q.Busiest, busiest)
	}
	return q, true
}
