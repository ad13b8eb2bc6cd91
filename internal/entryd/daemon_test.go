package entryd

import (
	"testing"

	"github.com/matryer/is"
)

const oneTask = `{"service":"recession","tasks":[{"kind":"profile-check","declared_ms":80,"payload":"aGk="}]}`

func TestSubmissionGoesToAnAgentAndComesBack(t *testing.T) {
	is := is.New(t)
	d := startFake(t)
	agent := greet(t, d)
	go agent.run()
	answer := mustSend(is, d, "POST", "/v1/submit?wait_ms=60000", callerToken, oneTask).job(is)
	is.True(answer.Complete())
	is.Equal(answer.Results, [][]byte{[]byte("hi")})
}
