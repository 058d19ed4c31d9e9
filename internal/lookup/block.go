package lookup

import (
	"net/netip"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Block identifies a group of callers by network address. Blocks below ListedBlocks are IPv4 /24 prefixes, numbered by
// their first 24 bits, and may be listed in a Sites table; all other blocks serve only as hash input.
type Block uint64

// ListedBlocks is the number of blocks that a Sites table can hold.
const ListedBlocks = 1 << 24

// maxBlockText bounds the text of a block, in bytes.
const maxBlockText = 128

// BlockError reports a text that cannot be parsed as a block.
type BlockError struct{ Text string }

// Error implements error.
func (e *BlockError) Error() string {
	return "invalid block " + strconv.Quote(e.Text) + ": expected an IP address, a prefix, a number or a name of up to 128 bytes"
}

// ParseBlock parses an IP address, a prefix, a number below ListedBlocks, or any other name, which
// identifies a block that is not listed. It returns a *BlockError if text is too long.
func ParseBlock(text string) (Block, error) {
	if len(text) > maxBlockText {
		return 0, &BlockError{Text: text[:maxBlockText]}
	}
	if number, err := strconv.ParseUint(text, 10, 64); err == nil && number < ListedBlocks {
		return Block(number), nil
	}
	if prefix, err := netip.ParsePrefix(text); err == nil {
		return blockOfPrefix(prefix, text), nil
	}
	if address, err := netip.ParseAddr(text); err == nil {
		return blockOfAddress(address.Unmap()), nil
	}
	return namedBlock(text), nil
}

func blockOfPrefix(prefix netip.Prefix, text string) Block {
	const blockBits = 24
	if prefix.Addr().Is4() && prefix.Bits() < blockBits {
		return namedBlock(text) // spans several blocks
	}
	return blockOfAddress(prefix.Addr().Unmap())
}

func blockOfAddress(address netip.Addr) Block {
	if address.Is4() {
		b := address.As4()
		return Block(b[0])<<16 | Block(b[1])<<8 | Block(b[2])
	}
	const siteBits = 48 // an IPv6 site
	prefix, err := address.Prefix(siteBits)
	if err != nil {
		return namedBlock(address.String())
	}
	return namedBlock(prefix.String())
}

// namedBlock returns a block above ListedBlocks, derived from a hash of text.
func namedBlock(text string) Block {
	return Block(xxhash.Sum64String(text) | 1<<63)
}
