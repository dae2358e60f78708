// Package malformed holds malformed HTTP responses, as backend servers send them when they fail.
package malformed

import "fmt"

// StatusZero returns responses with the status 000.
func StatusZero(header, body string) map[string]string {
	return map[string]string{
		"status 000":                withLength("HTTP/1.1 000 Failure\r\n"+header, body),
		"status 000 without a body": withLength("HTTP/1.1 000 Failure\r\n"+header, ""),
		"status 000 until the end":  "HTTP/1.1 000 Failure\r\n" + header + "\r\n" + body,
	}
}

// FieldNames returns responses with the status 200 in whose head the name of a field contains a
// byte that no field name may contain. The header holds whole lines, all of them valid.
func FieldNames(header, body string) map[string]string {
	const statusLine = "HTTP/1.1 200 OK\r\n"
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	r := map[string]string{
		"blank before the first name":   withLength(statusLine+" X-Extra: a\r\n"+header, body),
		"blank before another name":     withLength(statusLine+header+" X-Extra: a\r\n", body),
		"tab before a name":             withLength(statusLine+header+"\tX-Extra: a\r\n", body),
		"blank in a name":               withLength(statusLine+"X Extra: a\r\n"+header, body),
		"blank after a name":            withLength(statusLine+header+"X-Extra : a\r\n", body),
		"tab after a name":              withLength(statusLine+header+"X-Extra\t: a\r\n", body),
		"blank after Content-Length":    statusLine + header + fmt.Sprintf("Content-Length : %d\r\n\r\n", len(body)) + body,
		"blank after Transfer-Encoding": statusLine + header + "Transfer-Encoding : chunked\r\n\r\n" + chunks,
		"blank before Content-Length":   statusLine + header + fmt.Sprintf(" Content-Length: %d\r\n\r\n", len(body)) + body,
		"informational response":        withLength("HTTP/1.1 103 Early Hints\r\nX Extra: a\r\n\r\n"+statusLine+header, body),
	}
	for _, b := range []byte{0x00, 0x01, '\v', '\r', 0x1f, 0x7f} {
		r[fmt.Sprintf("byte %#02x in a name", b)] = withLength(statusLine+header+"X-E"+string(rune(b))+"xtra: a\r\n", body)
	}
	return r
}

func withLength(head, body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}
