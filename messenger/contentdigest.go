package messenger

import (
	"cmp"

	"bambooweir.example/bambooweir/quarantiner"
)

// ContentDigest returns the digest of the call's content, which is the same for all repeats
// of a request by one partner.
func (c *Call) ContentDigest() quarantiner.Digest {
	return quarantiner.NewDigest(cmp.Or(c.CallingPartner, c.Partner), c.Host, c.Method, c.Target, c.Body)
}
