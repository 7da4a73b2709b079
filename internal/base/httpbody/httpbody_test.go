package httpbody_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/nutmegway/nutmegway/internal/base/httpbody"
)

func ExampleReadAll() {
	for _, maxBytes := range []int64{5, 4} {
		data, err := httpbody.ReadAll(&http.Response{Body: io.NopCloser(strings.NewReader("whole")), StatusCode: http.StatusOK}, maxBytes)
		fmt.Println(string(data), err)
	}
	// Output:
	// whole <nil>
	//  httpbody: the answer with status 200 is longer than 4 bytes
}
