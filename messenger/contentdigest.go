package messenger

import (
	"cmp"
	"net"
	"strings"

	"bambooweir.example/bambooweir/quarantiner"
)

// ContentDigest returns the digest of the call's content, which is the same for all repeats
// of a request by one partner.
func (c *Call) ContentDigest() quarantiner.Digest {
	host := ""
	if !c.IsForAnyHost {
		host = strings.ToLower(c.Host)
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return quarantiner.NewDigest(cmp.Or(c.CallingPartner, c.Partner), host, c.Method, c.Target, c.Body)
}
