// Package malformed holds malformed HTTP responses, as backend servers send them when they fail.
package malformed

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

const statusLine = "HTTP/1.1 200 OK\r\n"

// Heads returns responses whose status is not final, and responses in whose head the name of a field
// contains a blank or a control byte. The header holds whole lines, all of them valid.
func Heads(header, body string) map[string]string {
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	r := map[string]string{
		"status 000":                    withLength("HTTP/1.1 000 Failure\r\n"+header, body),
		"status 000 without a body":     withLength("HTTP/1.1 000 Failure\r\n"+header, ""),
		"status 000 until the end":      "HTTP/1.1 000 Failure\r\n" + header + "\r\n" + body,
		"status 101":                    "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n" + header + "\r\n",
		"blank in a name":               withLength(statusLine+"X Extra: a\r\n"+header, body),
		"blank after a name":            withLength(statusLine+header+"X-Extra : a\r\n", body),
		"tab after a name":              withLength(statusLine+header+"X-Extra\t: a\r\n", body),
		"blank after Content-Length":    statusLine + header + fmt.Sprintf("Content-Length : %d\r\n\r\n", len(body)) + body,
		"blank after Transfer-Encoding": statusLine + header + "Transfer-Encoding : chunked\r\n\r\n" + chunks,
	}
	for _, b := range []byte{0x00, 0x01, '\v', '\r', 0x1f, 0x7f} {
		r[fmt.Sprintf("byte %#02x in a name", b)] = withLength(statusLine+header+"X-E"+string(rune(b))+"xtra: a\r\n", body)
	}
	return r
}

// All returns the responses of Heads, responses with a blank before a name, and one that follows an
// informational response with a blank in a name.
func All(header, body string) map[string]string {
	r := Heads(header, body)
	r["blank before the first name"] = withLength(statusLine+" X-Extra: a\r\n"+header, body)
	r["blank before another name"] = withLength(statusLine+header+" X-Extra: a\r\n", body)
	r["tab before a name"] = withLength(statusLine+header+"\tX-Extra: a\r\n", body)
	r["blank before Content-Length"] = statusLine + header + fmt.Sprintf(" Content-Length: %d\r\n\r\n", len(body)) + body
	r["blank in an informational response"] = withLength("HTTP/1.1 103 Early Hints\r\nX Extra: a\r\n\r\n"+statusLine+header, body)
	return r
}

func withLength(head, body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// Listen starts a server that answers each request with a response, after which it closes the
// connection. The server ends with the listener.
func Listen(response string) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answer(c, response)
		}
	}()
	return l, nil
}

func answer(c net.Conn, response string) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(c, response) // The client may have left.
}
