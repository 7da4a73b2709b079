package quickstart

import "encoding/json"

// isCompletionOf reports whether body is a completion with exactly one choice, whose
// text is text.
func isCompletionOf(body []byte, text string) bool {
	var completion struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(body, &completion); err != nil {
		return false
	}
	return len(completion.Choices) == 1 && completion.Choices[0].Text == text
}
