package cactuspost_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cactuspost.example/cactuspost"
	"cactuspost.example/internal/api"
	"cactuspost.example/internal/api/apitest"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

var issued = structs.JobID{Owner: 7, Seq: 1, Expiry: time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()}

// serve is a stand-in for an entry. The result of each task is its payload in
// upper case; the service "closed" is refused.
func serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == api.JobsPath {
		body, _ := api.Encode(api.CreateAnswer{IDs: []string{issued.String()}, Lifetime: 60_000})
		ctx.SetStatusCode(fasthttp.StatusCreated)
		ctx.SetBody(body)
		return
	}
	job, err := api.DecodeJob(ctx.PostBody(), api.Limits{})
	if err == nil && job.Service == "closed" {
		err = failure.New(failure.UnknownService, failure.NotRun, "no such service")
	}
	if err != nil {
		apitest.WriteFailure(ctx, failure.Of(err))
		return
	}
	answer := structs.Answer{ID: issued, State: structs.JobComplete}
	for _, task := range job.Tasks {
		answer.Results = append(answer.Results, []byte(strings.ToUpper(string(task.Payload))))
	}
	body, _ := api.EncodeAnswer(answer)
	ctx.SetBody(body)
}

func Example() {
	url, stop := apitest.Serve(serve)
	defer stop()
	client, err := cactuspost.New(cactuspost.Config{Entries: []string{url}, Token: "SAMPLE-rivage-token-0001"})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	// Store the ticket's id before submitting: whatever fails later, the job can
	// be awaited or resubmitted by its id, and no task runs twice.
	tickets, err := client.NewTickets(ctx, "recession", 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	answer, err := client.Submit(ctx, tickets[0], cactuspost.Job{
		Service: "recession",
		Tasks: []cactuspost.Task{
			{Kind: "profile-check", Declared: 80 * time.Millisecond, Payload: []byte("transect 12")},
			{Kind: "profile-check", Declared: 80 * time.Millisecond, Payload: []byte("transect 13")},
		},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, result := range answer.Results {
		fmt.Println(string(result))
	}
	// Output:
	// TRANSECT 12
	// TRANSECT 13
}

func ExampleFailureOf() {
	url, stop := apitest.Serve(serve)
	defer stop()
	client, err := cactuspost.New(cactuspost.Config{Entries: []string{url}, Token: "SAMPLE-rivage-token-0001"})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer client.Close()
	ctx := context.Background()
	tickets, err := client.NewTickets(ctx, "closed", 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	_, err = client.Submit(ctx, tickets[0], cactuspost.Job{Service: "closed", Tasks: []cactuspost.Task{{Kind: "any"}}})
	f := cactuspost.FailureOf(err)
	fmt.Println(f.Kind, f.Run == cactuspost.NotRun)
	// Output: unknown_service true
}
