package lookup

import (
	"encoding/csv"
	"errors"
	"io"
	"iter"
	"math/bits"
	"slices"
	"strconv"

	"github.com/azureflow/azureflow/internal/steering"
)

// MaxSites is the number of sites that a table can hold.
const MaxSites = 1 << 16

// Site is a location of callers and the zone nearest to it.
type Site struct {
	Name string
	Zone steering.ZoneName
}

// BlockSite assigns a block to a site.
type BlockSite struct {
	Block Block
	Site  uint16 // index into the sites of the table
}

// Sites maps caller blocks to sites. It holds a bitmap of the listed blocks, the number of listed
// blocks before each line of the bitmap, and the site of each listed block. It is immutable.
type Sites struct {
	sites  []Site
	lines  []line
	before []uint32 // blocks listed before each line
	site   []uint16 // by rank among the listed blocks
}

// line is a bitmap of lineBits blocks; a set bit marks a listed block. It fills one cache line of the processor.
type line [lineBits / wordBits]uint64

const (
	wordBits = 64
	lineBits = 512
)

// SitesError reports a table that cannot be built or read.
type SitesError struct {
	Line   int // in the file; 0 if the error has no line
	Reason string
	Cause  error // may be nil
}

// Error implements error.
func (e *SitesError) Error() string {
	text := "sites: "
	if e.Line > 0 {
		text += "line " + strconv.Itoa(e.Line) + ": "
	}
	text += e.Reason
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *SitesError) Unwrap() error { return e.Cause }

// NewSites builds a table. It iterates over blocks twice. If a block occurs more than once, its last site
// is used. It returns a *SitesError if there are too many sites or a block or site is out of range.
func NewSites(sites []Site, blocks iter.Seq[BlockSite]) (*Sites, error) {
	if len(sites) > MaxSites {
		return nil, &SitesError{Reason: "more than " + strconv.Itoa(MaxSites) + " sites"}
	}
	s := &Sites{
		sites:  slices.Clone(sites),
		lines:  make([]line, ListedBlocks/lineBits),
		before: make([]uint32, ListedBlocks/lineBits),
	}
	for p := range blocks {
		if p.Block >= ListedBlocks {
			return nil, &SitesError{Reason: "block " + strconv.FormatUint(uint64(p.Block), 10) + " is not an IPv4 /24 prefix"}
		}
		if int(p.Site) >= len(sites) {
			return nil, &SitesError{Reason: "site index " + strconv.Itoa(int(p.Site)) + " is out of range"}
		}
		s.lines[p.Block/lineBits][p.Block%lineBits/wordBits] |= 1 << (p.Block % wordBits)
	}
	total := uint32(0)
	for i := range s.lines {
		s.before[i] = total
		for _, word := range s.lines[i] {
			total += uint32(bits.OnesCount64(word))
		}
	}
	s.site = make([]uint16, total)
	for p := range blocks {
		s.site[s.rank(p.Block)] = p.Site
	}
	return s, nil
}

// rank returns the number of listed blocks below b.
func (s *Sites) rank(b Block) uint32 {
	l := &s.lines[b/lineBits]
	last := b % lineBits / wordBits
	n := s.before[b/lineBits] + uint32(bits.OnesCount64(l[last]&(1<<(b%wordBits)-1)))
	for _, word := range l[:last] {
		n += uint32(bits.OnesCount64(word))
	}
	return n
}

// find returns the index of the site of b, and whether b is listed.
func (s *Sites) find(b Block) (uint16, bool) {
	if s == nil || b >= ListedBlocks || s.lines[b/lineBits][b%lineBits/wordBits]&(1<<(b%wordBits)) == 0 {
		return 0, false
	}
	return s.site[s.rank(b)], true
}

// Find returns the site of b, and whether b is listed.
func (s *Sites) Find(b Block) (Site, bool) {
	i, listed := s.find(b)
	if !listed {
		return Site{}, false
	}
	return s.sites[i], true
}

// Len returns the number of listed blocks.
func (s *Sites) Len() int { return len(s.site) }

// Bytes returns the approximate memory size of the table.
func (s *Sites) Bytes() int {
	const siteBytes = 32
	return len(s.lines)*lineBits/8 + len(s.before)*4 + len(s.site)*2 + len(s.sites)*siteBytes
}

// blocksBySite returns the number of listed blocks of each site.
func (s *Sites) blocksBySite() []int {
	counts := make([]int, len(s.sites))
	for _, i := range s.site {
		counts[i]++
	}
	return counts
}

// ReadSites parses lines of comma-separated values: block, site, zone nearest to the site. The
// block is an IPv4 /24 prefix. All its errors are of type *SitesError.
func ReadSites(r io.Reader) (*Sites, error) {
	reader := csv.NewReader(r)
	reader.ReuseRecord = true
	reader.FieldsPerRecord = 3
	var placed []BlockSite
	var sites []Site
	index := make(map[Site]uint16)
	for {
		fields, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return NewSites(sites, slices.Values(placed))
		}
		if err != nil {
			return nil, &SitesError{Reason: "read", Cause: err}
		}
		line, _ := reader.FieldPos(0)
		block, err := ParseBlock(fields[0])
		if err != nil || block >= ListedBlocks {
			return nil, &SitesError{Line: line, Reason: strconv.Quote(fields[0]) + " is not an IPv4 /24 prefix"}
		}
		site := Site{Name: fields[1], Zone: steering.ZoneName(fields[2])}
		i, known := index[site]
		if !known {
			if len(sites) >= MaxSites {
				return nil, &SitesError{Line: line, Reason: "more than " + strconv.Itoa(MaxSites) + " sites"}
			}
			i = uint16(len(sites))
			site.Name, site.Zone = string([]byte(site.Name)), steering.ZoneName([]byte(site.Zone))
			index[site] = i
			sites = append(sites, site)
		}
		placed = append(placed, BlockSite{Block: block, Site: i})
	}
}
