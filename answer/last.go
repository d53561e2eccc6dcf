package answer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
)

// LastResponse returns the bytes of a response that a stopping host writes to an idle connection before it
// closes the connection. To a caller that has just sent a request it states that the request was not read.
// Callers without one ignore it: status 408 is used for no other purpose.
func LastResponse() []byte {
	body, err := json.Marshal(BodyOf(New(KindStopping, "")))
	if err != nil {
		body = []byte("{}") // the fields of the body are texts and numbers, which can be encoded
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: application/json\r\n", http.StatusRequestTimeout, http.StatusText(http.StatusRequestTimeout))
	fmt.Fprintf(&out, "%s: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderOutcome, OutcomeNotRun, len(body), body)
	return out.Bytes()
}
