package review

import (
	"slices"
	"strconv"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/azureflow/azureflow/internal/review/recordpb"
)

// Limits of one batch, for encoding and decoding.
const (
	maxBatchBytes    = 1 << 20   // compressed, as read
	maxEncodedBytes  = 900 << 10 // compressed, as written
	maxDecodedBytes  = 4 << 20
	maxBatchElements = 64 << 10 // records, inputs, candidates, texts, counts and coverages
	zstdWindowBytes  = 256 << 10
	recordElements   = 8 // elements of a typical record, for sizing
	maxBatchRecords  = maxBatchElements / recordElements
)

// BatchError reports a batch that cannot be read or written.
type BatchError struct {
	Reason string // "too large", "compression", "too many elements" or "encoding"
	Bytes  int
	Cause  error // nil if a limit is exceeded
}

// Error implements error.
func (e *BatchError) Error() string {
	text := "batch of " + strconv.Itoa(e.Bytes) + " bytes: " + e.Reason
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

func (e *BatchError) Unwrap() error { return e.Cause }

var (
	batchEncoder = mustEncoder()
	batchDecoder = mustDecoder()
)

func mustEncoder() *zstd.Encoder {
	encoder, err := zstd.NewWriter(nil,
		zstd.WithEncoderConcurrency(2),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(zstdWindowBytes),
		zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err)
	}
	encoder.EncodeAll(nil, nil) // creates the encoder's workers now instead of in the first goroutine that encodes
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

// EncodeBatch encodes and compresses b. The concatenation of encoded batches decodes as one batch. Errors:
// *BatchError if b exceeds the limits of a batch.
func EncodeBatch(b *Batch) ([]byte, error) {
	plain, elements, err := appendBatch(b)
	if err != nil {
		return nil, err
	}
	if elements > maxBatchElements {
		return nil, &BatchError{Reason: "too many elements", Bytes: len(plain)}
	}
	if len(plain) > maxDecodedBytes {
		return nil, &BatchError{Reason: "too large", Bytes: len(plain)}
	}
	body := batchEncoder.EncodeAll(plain, make([]byte, 0, len(plain)/2+64))
	envelope := &recordpb.Envelope{Digest: b.Digest, Coverage: coverageToProto(b.Coverage)}
	if len(b.Records)+len(b.Counts) > 0 {
		envelope.Bodies = []*recordpb.Body{{Data: body, Records: uint32(len(b.Records))}}
	}
	data, err := proto.Marshal(envelope)
	if err != nil {
		return nil, &BatchError{Reason: "encoding", Cause: err}
	}
	if len(data) > maxEncodedBytes {
		return nil, &BatchError{Reason: "too large", Bytes: len(data)}
	}
	return data, nil
}

// appendBatch returns b as an encoded recordpb.Batch, and its number of elements.
func appendBatch(b *Batch) (plain []byte, elements int, err error) {
	const typicalBytes = 160 // per record
	w := recordWriter{out: make([]byte, 0, typicalBytes*len(b.Records)), texts: newTexts()}
	for _, r := range b.Records {
		w.add(r)
	}
	for _, text := range w.texts.list {
		w.out = protowire.AppendTag(w.out, batchTexts, protowire.BytesType)
		w.out = protowire.AppendString(w.out, text)
	}
	for i := range b.Counts {
		count, err := proto.Marshal(countToProto(&b.Counts[i]))
		if err != nil {
			return nil, 0, &BatchError{Reason: "encoding", Cause: err}
		}
		w.out = appendBytes(w.out, batchCounts, count)
	}
	return w.out, elementsOf(b) + len(w.texts.list), nil
}

// envelope is a batch whose records are not decoded yet.
type envelope struct {
	coverage []Coverage
	digest   bool
	bodies   []*recordpb.Body
	records  int // as stated by the encoder
}

// openEnvelope decodes data except for the records. Errors: *BatchError.
func openEnvelope(data []byte) (*envelope, error) {
	if len(data) > maxBatchBytes {
		return nil, &BatchError{Reason: "too large", Bytes: len(data)}
	}
	if countFields(data) > maxBatchElements {
		return nil, &BatchError{Reason: "too many elements", Bytes: len(data)}
	}
	message := &recordpb.Envelope{}
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, &BatchError{Reason: "encoding", Bytes: len(data), Cause: err}
	}
	e := &envelope{
		coverage: coverageFromProto(message.GetCoverage()),
		digest:   message.GetDigest(),
		bodies:   message.GetBodies(),
	}
	for _, body := range e.bodies {
		e.records += int(body.GetRecords())
	}
	return e, nil
}

// DecodeBatch decodes the output of EncodeBatch. Its memory use is bounded for any input. Errors: *BatchError.
func DecodeBatch(data []byte) (*Batch, error) {
	e, err := openEnvelope(data)
	if err != nil {
		return nil, err
	}
	b := &Batch{Coverage: e.coverage, Digest: e.digest}
	budget := readBudget{bytes: maxDecodedBytes, elements: maxBatchElements}
	for _, body := range e.bodies {
		if err := budget.read(b, body.GetData()); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// readBudget is the size to which the remaining bodies of one batch may decompress.
type readBudget struct {
	bytes    int
	elements int
}

func (budget *readBudget) read(b *Batch, data []byte) error {
	plain, err := batchDecoder.DecodeAll(data, nil)
	if err != nil {
		return &BatchError{Reason: "compression", Bytes: len(data), Cause: err}
	}
	budget.bytes -= len(plain)
	budget.elements -= batchElements(plain)
	if budget.bytes < 0 || budget.elements < 0 {
		return &BatchError{Reason: "too many elements", Bytes: len(data)}
	}
	message := &recordpb.Batch{}
	if err := proto.Unmarshal(plain, message); err != nil {
		return &BatchError{Reason: "encoding", Bytes: len(data), Cause: err}
	}
	b.Records = append(b.Records, recordsFromProto(message)...)
	for _, c := range message.GetCounts() {
		b.Counts = append(b.Counts, countFromProto(c))
	}
	return nil
}

// batchElements counts the objects in an encoded batch, two levels deep, so that a small input cannot decode into
// a large number of objects. Malformed input is left to the decoder.
func batchElements(plain []byte) int {
	const recordField = 2
	nested := []protowire.Number{20, 21} // inputs and candidates
	total := 0
	eachField(plain, func(number protowire.Number, body []byte) {
		total++
		if number == recordField {
			eachField(body, func(inner protowire.Number, _ []byte) {
				if slices.Contains(nested, inner) {
					total++
				}
			})
		}
	})
	return total
}

func countFields(data []byte) int {
	total := 0
	eachField(data, func(protowire.Number, []byte) { total++ })
	return total
}

// eachField calls fn with the length-delimited fields of a message.
func eachField(data []byte, fn func(protowire.Number, []byte)) {
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
