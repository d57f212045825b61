package wire

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/policy/ident"
)

// Data is lacewing.v1.Data, parsed without allocation: Payload aliases the frame that it was parsed
// from.
type Data struct {
	Service     ident.ServiceID
	Sender      ident.NodeID
	Sequence    uint64
	Destination ident.NodeID
	Caller      ident.Caller
	Hops        uint8
	Placed      bool
	View        uint64
	Entry       ident.NodeID
	SentUnixMs  uint64
	Payload     []byte
}

// Field numbers of lacewing.v1.Data.
const (
	fieldService     = 1
	fieldSender      = 2
	fieldSequence    = 3
	fieldDestination = 4
	fieldCaller      = 5
	fieldHops        = 6
	fieldPlaced      = 7
	fieldView        = 8
	fieldEntry       = 9
	fieldSentUnixMs  = 10
	fieldPayload     = 15
)

// AppendData appends a signed frame that carries d.
func (r *Keyring) AppendData(b []byte, t Type, d *Data) []byte {
	frameStart := len(b)
	b = r.appendHeader(b, t)
	b = appendFixed(b, fieldService, uint64(d.Service))
	b = appendFixed(b, fieldSender, uint64(d.Sender))
	b = appendFixed(b, fieldSequence, d.Sequence)
	b = appendFixed(b, fieldDestination, uint64(d.Destination))
	b = protowire.AppendTag(b, fieldCaller, protowire.BytesType)
	b = protowire.AppendBytes(b, d.Caller[:])
	b = appendVarint(b, fieldHops, uint64(d.Hops))
	b = appendVarint(b, fieldPlaced, protowire.EncodeBool(d.Placed))
	b = appendFixed(b, fieldView, d.View)
	b = appendFixed(b, fieldEntry, uint64(d.Entry))
	b = appendVarint(b, fieldSentUnixMs, d.SentUnixMs)
	b = protowire.AppendTag(b, fieldPayload, protowire.BytesType)
	b = protowire.AppendBytes(b, d.Payload)
	r.signFrame(b, frameStart)
	return b
}

func appendFixed(b []byte, field protowire.Number, x uint64) []byte {
	return protowire.AppendFixed64(protowire.AppendTag(b, field, protowire.Fixed64Type), x)
}

func appendVarint(b []byte, field protowire.Number, x uint64) []byte {
	if x == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), x)
}

// ParseData reads the body of a TypeData or TypeReturn frame into d. Unknown fields are skipped.
func ParseData(body []byte, d *Data) error {
	*d = Data{}
	for len(body) > 0 {
		field, kind, n := protowire.ConsumeTag(body)
		if n < 0 {
			return ErrMalformed
		}
		body = body[n:]
		n = d.consumeField(field, kind, body)
		if n < 0 {
			return ErrMalformed
		}
		body = body[n:]
	}
	return nil
}

// consumeField reads the value of one field and returns its length, or a negative number if it is
// malformed.
func (d *Data) consumeField(field protowire.Number, kind protowire.Type, b []byte) int {
	switch kind {
	case protowire.Fixed64Type:
		x, n := protowire.ConsumeFixed64(b)
		d.setFixed(field, x)
		return n
	case protowire.VarintType:
		x, n := protowire.ConsumeVarint(b)
		d.setVarint(field, x)
		return n
	case protowire.BytesType:
		x, n := protowire.ConsumeBytes(b)
		if n >= 0 && !d.setBytes(field, x) {
			return -1
		}
		return n
	}
	return protowire.ConsumeFieldValue(field, kind, b)
}

func (d *Data) setFixed(field protowire.Number, x uint64) {
	switch field {
	case fieldService:
		d.Service = ident.ServiceID(x)
	case fieldSender:
		d.Sender = ident.NodeID(x)
	case fieldSequence:
		d.Sequence = x
	case fieldDestination:
		d.Destination = ident.NodeID(x)
	case fieldView:
		d.View = x
	case fieldEntry:
		d.Entry = ident.NodeID(x)
	}
}

func (d *Data) setVarint(field protowire.Number, x uint64) {
	switch field {
	case fieldHops:
		d.Hops = uint8(min(x, 255))
	case fieldPlaced:
		d.Placed = protowire.DecodeBool(x)
	case fieldSentUnixMs:
		d.SentUnixMs = x
	}
}

func (d *Data) setBytes(field protowire.Number, x []byte) bool {
	switch field {
	case fieldCaller:
		return copy(d.Caller[:], x) == len(d.Caller) && len(x) == len(d.Caller)
	case fieldPayload:
		d.Payload = x
	}
	return true
}

// AppendControl appends a signed frame that carries c.
func (r *Keyring) AppendControl(b []byte, c *lacewingv1.Control) ([]byte, error) {
	frameStart := len(b)
	b, err := proto.MarshalOptions{}.MarshalAppend(r.appendHeader(b, TypeControl), c)
	if err != nil {
		return nil, err
	}
	r.signFrame(b, frameStart)
	return b, nil
}

// ParseControl reads the body of a TypeControl frame.
func ParseControl(body []byte) (*lacewingv1.Control, error) {
	c := &lacewingv1.Control{}
	if err := proto.Unmarshal(body, c); err != nil {
		return nil, ErrMalformed
	}
	return c, nil
}
