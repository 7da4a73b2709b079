package httpstatus_test

import (
	"fmt"

	"github.com/nutmegway/nutmegway/internal/base/httpstatus"
)

func ExampleIsFinal() {
	for _, code := range []int{0, 99, 101, 199, 200, 421, 599, 600, 999} {
		fmt.Println(code, httpstatus.IsFinal(code))
	}
	// Output:
	// 0 false
	// 99 false
	// 101 false
	// 199 false
	// 200 true
	// 421 true
	// 599 true
	// 600 false
	// 999 false
}

func ExampleIsSuccess() {
	fmt.Println(httpstatus.IsSuccess(0), httpstatus.IsSuccess(204), httpstatus.IsSuccess(304))
	// Output: false true false
}
