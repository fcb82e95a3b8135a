package linker

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/currantwood/currantwood/wire"
)

// maxFrameBytes bounds one frame; the largest request body must fit in.
const maxFrameBytes = 4 << 20

// appendFrame appends the frame with its length as a varint prefix.
func appendFrame(buffer []byte, frame *wire.Frame) ([]byte, error) {
	options := proto.MarshalOptions{UseCachedSize: true}
	buffer = binary.AppendUvarint(buffer, uint64(proto.Size(frame)))
	return options.MarshalAppend(buffer, frame)
}

func (l *Link) readFrame() (*wire.Frame, error) {
	size, err := binary.ReadUvarint(l.reader)
	if err != nil {
		return nil, err
	}
	if size > maxFrameBytes {
		return nil, errors.Errorf("frame of %d bytes exceeds the limit of %d bytes", size, maxFrameBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(l.reader, body); err != nil {
		return nil, err
	}
	frame := &wire.Frame{}
	return frame, proto.Unmarshal(body, frame)
}
