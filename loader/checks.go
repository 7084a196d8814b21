package loader

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
)

var (
	identifierSyntax = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	kebabSyntax      = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)
	sha256Syntax     = regexp.MustCompile(`^([0-9a-f]{64})?$`)
)

// The functions below check the values of settings. Each returns what a value must
// be, and whether the given value is that.

// identifier checks an instance ID.
func identifier(value any) (string, bool) {
	return "1 to 64 letters, digits, dots, dashes or underscores", identifierSyntax.MatchString(value.(string))
}

func kebab(value any) (string, bool) {
	s := value.(string)
	return "kebab-case of at most 63 characters", len(s) <= 63 && kebabSyntax.MatchString(s)
}

func sha256OrEmpty(value any) (string, bool) {
	return "64 lower-case hexadecimal digits", sha256Syntax.MatchString(value.(string))
}

func address(value any) (string, bool) {
	addr, err := netip.ParseAddrPort(value.(string))
	return "IP:port", err == nil && addr.Port() != 0
}

func httpURL(value any) (string, bool) {
	u, err := url.Parse(value.(string))
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.RawQuery == "" && u.Fragment == ""
	return "a URL as http://IP:port", ok
}

// oneOf returns a check that a string is one of the names.
func oneOf(names ...string) func(any) (string, bool) {
	return func(value any) (string, bool) {
		return "one of " + strings.Join(names, ", "), slices.Contains(names, value.(string))
	}
}

// intRange returns a check that an integer is from least to largest.
func intRange(least, largest int) func(any) (string, bool) {
	return func(value any) (string, bool) {
		n := value.(int)
		return fmt.Sprintf("from %d to %d", least, largest), n >= least && n <= largest
	}
}

func addressOrEmpty(value any) (string, bool) {
	if value.(string) == "" {
		return "", true
	}
	return address(value)
}

// addressesOrEmpty checks a list, possibly empty, of addresses separated by commas.
func addressesOrEmpty(value any) (string, bool) {
	for _, addr := range SplitList(value.(string)) {
		if _, ok := address(addr); !ok {
			return "IP:port, separated by commas", false
		}
	}
	return "", true
}

// SplitList returns the elements of a list separated by commas, without white space
// and empty elements.
func SplitList(value string) []string {
	var elements []string
	for element := range strings.SplitSeq(value, ",") {
		if element = strings.TrimSpace(element); element != "" {
			elements = append(elements, element)
		}
	}
	return elements
}

// floatRange returns a check that a number is from least to largest.
func floatRange(least, largest float64) func(any) (string, bool) {
	return func(value any) (string, bool) {
		n := value.(float64)
		return fmt.Sprintf("from %g to %g", least, largest), n >= least && n <= largest
	}
}

func boolean(any) (string, bool) { return "true or false", true }

func anyString(any) (string, bool) { return "a string", true }
