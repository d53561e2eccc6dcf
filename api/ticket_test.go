package api

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/wire"
)

// A reply that another host has stored is taken over only with the status of a final response: net/http panics on 000.
func TestInvalidStatusOfStoredReplyIsUnknown(t *testing.T) {
	for status, final := range map[uint32]bool{0: false, 99: false, 101: false, 199: false, 200: true, 404: true, 599: true, 600: false, 999: false} {
		reply, err := storedReply(&wire.TicketReply{Status: status})
		if final {
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, reply.Status, qt.Equals, int(status))
			continue
		}
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%d", status))
		qt.Check(t, answer.From(err).Kind, qt.Equals, answer.KindUnknownOutcome, qt.Commentf("%d", status))
	}
}
