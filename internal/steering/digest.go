package steering

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Digest is a hash of the content of a configuration. It detects corruption and divergence, not forgery.
type Digest uint64

// String returns d in hexadecimal.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return err
	}
	*d = Digest(n)
	return nil
}

// ContentDigest returns the digest of the platform and the services of c, without the revision.
func ContentDigest(c *Configuration) (Digest, error) {
	digests, err := itemDigests(c)
	if err != nil {
		return 0, err
	}
	return digests.combined(), nil
}

// digestSet holds the digest of each part of a configuration.
type digestSet struct {
	platform Digest
	services []Digest // as in Configuration.Services
}

func itemDigests(c *Configuration) (digestSet, error) {
	platform, err := itemDigest(&c.Platform)
	if err != nil {
		return digestSet{}, err
	}
	set := digestSet{platform: platform, services: make([]Digest, len(c.Services))}
	for i := range c.Services {
		if set.services[i], err = itemDigest(&c.Services[i]); err != nil {
			return digestSet{}, err
		}
	}
	return set, nil
}

func itemDigest(item any) (Digest, error) {
	text, err := json.Marshal(item)
	if err != nil {
		return 0, &EncodingError{Fault: FaultContent, Cause: err}
	}
	return Digest(xxhash.Sum64(text)), nil
}

// combined returns the digest of the configuration, computed from the digests of its parts.
func (s *digestSet) combined() Digest {
	buffer := binary.LittleEndian.AppendUint64(make([]byte, 0, 8+8*len(s.services)), uint64(s.platform))
	for _, d := range s.services {
		buffer = binary.LittleEndian.AppendUint64(buffer, uint64(d))
	}
	return Digest(xxhash.Sum64(buffer))
}
