package scripter

import (
	"fmt"
	"regexp"
	"strconv"
)

// condition is a comparison of a named count with a number, such as answered>=3.
type condition struct {
	name, operator string
	want           int
}

var conditionSyntax = regexp.MustCompile(`^(.+?)(>=|<=|=)(\d+)$`)

// parseCondition parses a condition in the form NAME{=,>=,<=}N.
func parseCondition(text string) (condition, error) {
	m := conditionSyntax.FindStringSubmatch(text)
	if m == nil {
		return condition{}, fmt.Errorf("%q is not a condition such as answered>=3", text)
	}
	want, err := strconv.Atoi(m[3])
	return condition{name: m[1], operator: m[2], want: want}, err
}

// check returns an error unless the count satisfies the condition.
func (c condition) check(got int) error {
	ok := got == c.want
	switch c.operator {
	case ">=":
		ok = got >= c.want
	case "<=":
		ok = got <= c.want
	}
	if !ok {
		return fmt.Errorf("%s: got %d, want %s%d", c.name, got, c.operator, c.want)
	}
	return nil
}
