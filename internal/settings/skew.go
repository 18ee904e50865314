package settings

import "gypsumtide"

// maxSkew bounds the clock skew between entries. The freshness of ids after a
// takeover rests on it.
const maxSkew gypsumtide.Millis = 500

// MaxSkew returns the bound on the clock skew between entries.
func (c *Entry) MaxSkew() gypsumtide.Millis { return maxSkew }
