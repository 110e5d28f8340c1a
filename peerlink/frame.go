package peerlink

import (
	"encoding/binary"

	"crocuslug/result"
)

// FrameKind is the kind of a frame. Kinds below FirstDataKind are reserved for the
// link itself.
type FrameKind byte

// Kinds of frames.
const (
	kindLink FrameKind = 0 // handshake message, or a ping if the payload is empty
	kindCall FrameKind = 1 // one JSON-RPC 2.0 object

	// FirstDataKind is the lowest kind of binary data frames.
	FirstDataKind FrameKind = 2
)

const (
	lengthBytes = 4
	headerBytes = lengthBytes + 1
)

// appendFrame appends a frame to b.
func appendFrame(b []byte, kind FrameKind, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)+1))
	b = append(b, byte(kind))
	return append(b, payload...)
}

// decodeFrame reads the first frame of b and returns its kind, payload and total size
// in bytes. If the size exceeds len(b), the frame is incomplete, the kind and payload
// are not set, and at least size bytes are needed. It returns a Malformed or TooLarge
// error if b does not start with a valid frame.
func decodeFrame(b []byte, maxPayload int) (FrameKind, []byte, int, *result.Error) {
	if len(b) < headerBytes {
		return 0, nil, headerBytes, nil
	}
	n := int(binary.BigEndian.Uint32(b))
	if n == 0 {
		return 0, nil, 0, result.New(result.Malformed, "frame length is 0, but must count at least the kind byte")
	}
	if n-1 > maxPayload {
		return 0, nil, 0, result.Newf(result.TooLarge, "frame payload of %d bytes exceeds the limit of %d", n-1, maxPayload)
	}
	size := lengthBytes + n
	if len(b) < size {
		return 0, nil, size, nil
	}
	return FrameKind(b[lengthBytes]), b[headerBytes:size], size, nil
}
