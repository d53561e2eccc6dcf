package host

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"

	"github.com/wigeonlink/wigeonlink/registry"
	"github.com/wigeonlink/wigeonlink/wire"
)

// earlierBuild is the folder of messages that an earlier build has encoded, and of its schema.
const earlierBuild = "testdata/06f1bea"

// readMessage decodes a file of earlierBuild.
func readMessage(c *qt.C, name string, m proto.Message) {
	data, err := os.ReadFile(filepath.Join(earlierBuild, name))
	c.Assert(err, qt.IsNil)
	c.Assert(proto.Unmarshal(data, m), qt.IsNil)
	c.Assert(m.ProtoReflect().GetUnknown(), qt.HasLen, 0)
}

// Each field of the earlier build's messages must have the same number, name, type and cardinality now, because hosts of
// both builds exchange messages during an upgrade. Fields may be added.
func TestFieldsOfEarlierBuildAreKept(t *testing.T) {
	c := qt.New(t)
	var schema descriptorpb.FileDescriptorProto
	readMessage(c, "schema.binpb", &schema)
	before, err := protodesc.NewFile(&schema, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(before.Messages().Len() > 0, qt.IsTrue)
	for i := range before.Messages().Len() {
		message := before.Messages().Get(i)
		now := wire.File_wire_wire_proto.Messages().ByName(message.Name())
		c.Assert(now, qt.IsNotNil, qt.Commentf("%s", message.Name()))
		for j := range message.Fields().Len() {
			field := message.Fields().Get(j)
			kept := now.Fields().ByNumber(field.Number())
			c.Assert(kept, qt.IsNotNil, qt.Commentf("%s", field.FullName()))
			c.Check(describe(kept), qt.Equals, describe(field), qt.Commentf("%s", field.FullName()))
		}
	}
}

// fieldShape is what decides how a field is encoded.
type fieldShape struct {
	name        protoreflect.Name
	kind        protoreflect.Kind
	cardinality protoreflect.Cardinality
	message     protoreflect.Name // of a message field
}

func describe(f protoreflect.FieldDescriptor) fieldShape {
	s := fieldShape{name: f.Name(), kind: f.Kind(), cardinality: f.Cardinality()}
	if f.Message() != nil {
		s.message = f.Message().Name()
	}
	return s
}

// A host reads the list of targets in messages of the earlier build, and takes neither its heartbeats nor its full state as
// exact.
func TestStateOfEarlierBuildIsRead(t *testing.T) {
	c := qt.New(t)
	var hb wire.Heartbeat
	readMessage(c, "heartbeat.binpb", &hb)
	c.Check(hb.Revision, qt.Equals, uint64(120))
	c.Check(hb.Exact, qt.IsFalse)

	var state wire.Answer
	readMessage(c, "state.binpb", &state)
	full, age := updateFromWire(state.News)
	c.Check(age, qt.Equals, 40*time.Millisecond)
	c.Check(full.Full, qt.IsTrue)
	c.Check(full.ContentRevision, qt.Equals, uint64(0))
	checkTarget(c, full)

	var report wire.Report
	readMessage(c, "delta.binpb", &report)
	delta, _ := updateFromWire(report.News)
	c.Check([]uint64{delta.Era, delta.Base, delta.Revision}, qt.DeepEquals, []uint64{2, 110, 120})
	c.Check(delta.Removed, qt.DeepEquals, []string{"i-2"})
	checkTarget(c, delta)
}

// checkTarget checks the only target in the messages of the earlier build.
func checkTarget(c *qt.C, r registry.Update) {
	c.Assert(r.ParseErrors, qt.HasLen, 0)
	c.Assert(r.Targets, qt.HasLen, 1)
	t := r.Targets[0]
	c.Check(t.Name, qt.Equals, "i-1")
	c.Check(t.Address.String(), qt.Equals, "10.2.0.1:8000")
	c.Check(t.Slots, qt.Equals, 24)
	c.Check(t.Leaving, qt.IsTrue)
	c.Check(t.StartTime.UnixMilli(), qt.Equals, int64(1788168139866))
}
