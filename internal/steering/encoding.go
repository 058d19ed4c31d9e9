package steering

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/klauspost/compress/zstd"
)

// Limits on encoded values.
const (
	maxEncodedBytes = 32 << 20 // compressed
	maxDecodedBytes = 128 << 20
	maxDeltaBytes   = 8 << 20 // decompressed
)

// magic is the prefix of an encoded value; it identifies its kind and format.
type magic string

const (
	magicConfiguration magic = "azc1"
	magicDelta         magic = "azd1"
	magicDeltas        magic = "azl1"
	magicSnapshot      magic = "azs1"
	magicHistory       magic = "azh1"
	magicBytes               = 4
)

// EncodingFault is the reason why an encoded value is rejected.
type EncodingFault string

// The faults of encoded values.
const (
	FaultFormat    EncodingFault = "unknown format"
	FaultSize      EncodingFault = "too large"
	FaultTruncated EncodingFault = "truncated or damaged"
	FaultContent   EncodingFault = "content not as expected"
	FaultCanonical EncodingFault = "not in canonical form"
	FaultOrder     EncodingFault = "services not sorted or duplicated"
	FaultDigest    EncodingFault = "digest does not match the content"
	FaultChain     EncodingFault = "does not follow the revision before it"
	FaultChecks    EncodingFault = "fails the checks"
)

// EncodingError reports an encoded value that cannot be read.
type EncodingError struct {
	Fault EncodingFault
	Cause error // may be nil
}

// Error implements error.
func (e *EncodingError) Error() string {
	if e.Cause == nil {
		return "configuration unreadable: " + string(e.Fault)
	}
	return "configuration unreadable: " + string(e.Fault) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *EncodingError) Unwrap() error { return e.Cause }

// Encode returns c as compressed JSON, which Decode reads.
func Encode(c *Configuration) ([]byte, error) { return encode(magicConfiguration, c) }

// Decode returns the configuration in data. It accepts only the exact output of Encode, and only
// if it passes the checks of steering files. Errors: *EncodingError.
func Decode(data []byte) (*Configuration, error) {
	var c Configuration
	if err := decode(magicConfiguration, data, maxDecodedBytes, &c); err != nil {
		return nil, err
	}
	if err := validate(&c); err != nil {
		return nil, err
	}
	return &c, nil
}

// The compressor and the decompressors of the package; each is safe for concurrent use.
var (
	compressor           = newCompressor()
	decompressor, _      = zstd.NewReader(nil, zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(maxDecodedBytes))
	smallDecompressor, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(maxDeltaBytes))
)

// newCompressor returns a fully initialized compressor. Without the first call it would create its
// channels at its first use, and tests under testing/synctest could not share it.
func newCompressor() *zstd.Encoder {
	encoder, _ := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	encoder.EncodeAll([]byte("{}"), nil)
	return encoder
}

// decompressorFor returns a decompressor that allocates at most about maxBytes bytes.
func decompressorFor(maxBytes int) *zstd.Decoder {
	if maxBytes <= maxDeltaBytes {
		return smallDecompressor
	}
	return decompressor
}

func encode(m magic, value any) ([]byte, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return nil, &EncodingError{Fault: FaultContent, Cause: err}
	}
	return compressor.EncodeAll(text, []byte(m)), nil
}

// decode reads data of kind m into value and rejects data that encode would not have written.
func decode(m magic, data []byte, maxBytes int, value any) error {
	text, err := decompress(m, data, maxBytes)
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return &EncodingError{Fault: FaultContent, Cause: err}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return &EncodingError{Fault: FaultContent}
	}
	again, err := json.Marshal(value)
	if err != nil || !bytes.Equal(again, text) {
		return &EncodingError{Fault: FaultCanonical, Cause: err}
	}
	return nil
}

func decompress(m magic, data []byte, maxBytes int) ([]byte, error) {
	if len(data) > maxEncodedBytes {
		return nil, &EncodingError{Fault: FaultSize}
	}
	if kindOf(data) != m {
		return nil, &EncodingError{Fault: FaultFormat}
	}
	text, err := decompressorFor(maxBytes).DecodeAll(data[magicBytes:], nil)
	if errors.Is(err, zstd.ErrDecoderSizeExceeded) || errors.Is(err, zstd.ErrWindowSizeExceeded) {
		return nil, &EncodingError{Fault: FaultSize, Cause: err}
	}
	if err != nil {
		return nil, &EncodingError{Fault: FaultTruncated, Cause: err}
	}
	if len(text) > maxBytes {
		return nil, &EncodingError{Fault: FaultSize}
	}
	return text, nil
}

// kindOf returns the magic of data, or "".
func kindOf(data []byte) magic {
	if len(data) < magicBytes {
		return ""
	}
	return magic(data[:magicBytes])
}

// validate checks a configuration that did not come from files.
func validate(c *Configuration) error {
	for i := 1; i < len(c.Services); i++ {
		if c.Services[i-1].Name >= c.Services[i].Name {
			return &EncodingError{Fault: FaultOrder}
		}
	}
	s := &source{file: "configuration"}
	report := &Report{}
	checkPlatform(toPlatformFile(&c.Platform), s, report)
	for i := range c.Services {
		checkService(&c.Services[i], s, report)
		checkAgainstPlatform(&c.Services[i], s, &c.Platform, report)
	}
	if err := report.Err(); err != nil {
		return &EncodingError{Fault: FaultChecks, Cause: err}
	}
	return nil
}
