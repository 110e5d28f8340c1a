package peerlink

import (
	"encoding/binary"

	"crocuslug/result"
)

// FrameKind tells frames apart. Kinds below FirstDataKind belong to the link.
type FrameKind byte

// Kinds of frames.
const (
	kindLink FrameKind = 0 // handshake; empty for a ping
	kindCall FrameKind = 1 // one JSON-RPC 2.0 object

	// FirstDataKind is the lowest kind for binary frames.
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

// decodeFrame reads the first frame of b. It returns the bytes that the frame
// takes; when that is more than b holds, the frame is not complete yet. It
// returns Malformed or TooLarge if no more bytes can make it a frame.
func decodeFrame(b []byte, maxPayload int) (FrameKind, []byte, int, *result.Error) {
	if len(b) < headerBytes {
		return 0, nil, headerBytes, nil
	}
	n := int(binary.BigEndian.Uint32(b))
	if n == 0 {
		return 0, nil, 0, result.New(result.Malformed, "frame without a kind")
	}
	if n-1 > maxPayload {
		return 0, nil, 0, result.Newf(result.TooLarge, "frame of %d bytes exceeds %d", n-1, maxPayload)
	}
	size := lengthBytes + n
	if len(b) < size {
		return 0, nil, size, nil
	}
	return FrameKind(b[lengthBytes]), b[headerBytes:size], size, nil
}
