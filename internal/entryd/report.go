package entryd

import (
	"context"
	"time"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/api/operator"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/report"
	"cactuspost.example/internal/structs"
)

// accounts returns the service-level accounts of this entry and those of the
// others. An entry that did not answer has a failure in place of its accounts.
func (c *cluster) accounts() ([]operator.EntryAccounts, *failure.Failure) {
	own, refusal := c.core.accounts()
	if refusal != nil {
		return nil, refusal
	}
	answer := make(chan []operator.EntryAccounts, 1)
	if !c.peers.TrySend(&collectAccounts{answer: answer}) {
		return nil, tooManyPeerRequests()
	}
	select {
	case others := <-answer:
		return append([]operator.EntryAccounts{operator.NewEntryAccounts(*own)}, others...), nil
	case <-c.peers.Done():
		return nil, failure.New(failure.Unavailable, failure.NotRun, "the entry has stopped")
	}
}

// fetchAccounts asks another entry for its accounts. An error is returned as the
// failure of the accounts.
func fetchAccounts(ctx context.Context, client peerClient, entry structs.Peer) operator.EntryAccounts {
	accounts := operator.EntryAccounts{}
	raw, err := client.Account(ctx, entry)
	if err == nil {
		err = api.DecodeLenient(raw, &accounts)
	}
	if err != nil {
		return operator.EntryAccounts{Entry: entry, Failure: api.NewFailureJSON(failure.Of(err))}
	}
	return accounts
}

// AccountPeer returns the encoded accounts of this entry for another one, or nil
// if the dispatcher can't provide them.
func (j *jobRouter) AccountPeer(context.Context) []byte {
	own, refusal := j.core.accounts()
	if refusal != nil {
		return nil
	}
	raw, err := api.Encode(operator.NewEntryAccounts(*own))
	if err != nil {
		return nil
	}
	return raw
}

// report handles a request to api.ReportPath; it is an OperatorHandler.
func (c *cluster) report(r OperatorRequest) ([]byte, *failure.Failure) {
	accounts, refusal := c.accounts()
	if refusal != nil {
		return nil, refusal
	}
	built := report.New(time.Now(), accounts)
	switch {
	case r.HTML:
		page, err := report.RenderPage(built)
		return page, failure.Of(err)
	case r.Text:
		return []byte(report.RenderText(built)), nil
	default:
		return encodeBody(built)
	}
}
