package review

import (
	"strconv"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/azureflow/azureflow/internal/review/recordpb"
)

// Bounds of one batch, for whoever writes or reads it.
const (
	maxBatchBytes    = 1 << 20   // compressed, as read
	maxEncodedBytes  = 900 << 10 // compressed, as written
	maxDecodedBytes  = 4 << 20
	maxBatchElements = 64 << 10 // records, inputs, candidates, counts and coverages
	zstdWindowBytes  = 256 << 10
	recordElements   = 8 // elements of a typical record, for sizing
	maxBatchRecords  = maxBatchElements / recordElements
)

// BatchError reports a batch that cannot be read.
type BatchError struct {
	Reason string // "too large", "compression", "too many elements" or "encoding"
	Bytes  int    // compressed
	Cause  error  // nil for a bound
}

// Error implements error.
func (e *BatchError) Error() string {
	text := "batch of " + strconv.Itoa(e.Bytes) + " bytes: " + e.Reason
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *BatchError) Unwrap() error { return e.Cause }

var (
	batchEncoder = mustEncoder()
	batchDecoder = mustDecoder()
)

func mustEncoder() *zstd.Encoder {
	encoder, err := zstd.NewWriter(nil,
		zstd.WithEncoderConcurrency(2),
		zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithWindowSize(zstdWindowBytes),
		zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err)
	}
	encoder.EncodeAll(nil, nil) // sets up its workers now, not in whichever goroutine comes first
	return encoder
}

func mustDecoder() *zstd.Decoder {
	decoder, err := zstd.NewReader(nil,
		zstd.WithDecoderConcurrency(2),
		zstd.WithDecoderMaxMemory(maxDecodedBytes),
		zstd.WithDecoderMaxWindow(maxDecodedBytes),
		zstd.WithDecoderLowmem(true))
	if err != nil {
		panic(err)
	}
	return decoder
}

// EncodeBatch returns b compressed. Batches encoded one after the other decode as one. Errors:
// *BatchError if b is beyond the bounds of a batch.
func EncodeBatch(b *Batch) ([]byte, error) {
	plain, err := proto.Marshal(batchToProto(b))
	if err != nil {
		return nil, &BatchError{Reason: "encoding", Cause: err}
	}
	if len(plain) > maxDecodedBytes {
		return nil, &BatchError{Reason: "too large", Bytes: len(plain)}
	}
	data := batchEncoder.EncodeAll(plain, make([]byte, 0, len(plain)/8+64))
	if len(data) > maxEncodedBytes {
		return nil, &BatchError{Reason: "too large", Bytes: len(data)}
	}
	return data, nil
}

// DecodeBatch reads what EncodeBatch wrote. It spends bounded memory on any input. Errors:
// *BatchError.
func DecodeBatch(data []byte) (*Batch, error) {
	if len(data) > maxBatchBytes {
		return nil, &BatchError{Reason: "too large", Bytes: len(data)}
	}
	plain, err := batchDecoder.DecodeAll(data, nil)
	if err != nil {
		return nil, &BatchError{Reason: "compression", Bytes: len(data), Cause: err}
	}
	if countElements(plain) > maxBatchElements {
		return nil, &BatchError{Reason: "too many elements", Bytes: len(data)}
	}
	message := &recordpb.Batch{}
	if err := proto.Unmarshal(plain, message); err != nil {
		return nil, &BatchError{Reason: "encoding", Bytes: len(data), Cause: err}
	}
	return batchFromProto(message), nil
}

// countElements counts the messages in an encoded batch, two levels deep, so that a small text
// cannot unfold into a large number of objects. Malformed input is left to the decoder.
func countElements(plain []byte) int {
	const (
		recordField    = 1
		inputField     = 17
		candidateField = 18
	)
	total := 0
	eachMessage(plain, func(number protowire.Number, body []byte) {
		total++
		if number != recordField {
			return
		}
		eachMessage(body, func(inner protowire.Number, _ []byte) {
			if inner == inputField || inner == candidateField {
				total++
			}
		})
	})
	return total
}

func eachMessage(data []byte, fn func(protowire.Number, []byte)) {
	for len(data) > 0 {
		number, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return
		}
		data = data[n:]
		size := protowire.ConsumeFieldValue(number, kind, data)
		if size < 0 {
			return
		}
		if kind == protowire.BytesType {
			body, _ := protowire.ConsumeBytes(data)
			fn(number, body)
		}
		data = data[size:]
	}
}
