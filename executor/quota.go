package executor

import (
	"context"

	"bambooweir.example/bambooweir/messenger"
)

// answerQuotaAsk returns the answer to a request for grants of a tenant. A daemon that keeps
// no quotas decides nothing.
func (x *Executor) answerQuotaAsk(ctx context.Context, m *messenger.QuotaAsk) *messenger.Answer {
	answer := messenger.NotRun(m.ID, "")
	if x.Quota != nil {
		reply := x.Quota.Handle(ctx, m.Asker, m.Ask)
		answer.Quota = &reply
	}
	return answer
}
