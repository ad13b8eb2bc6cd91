package agentd

import (
	"go.uber.org/zap"

	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/structs"
)

// logAgentEvent logs an event that the decisions reported.
func logAgentEvent(log *logging.Logger, e *agent.LogEvent) {
	var fields []logging.Field
	if e.Entry != "" {
		fields = append(fields, zap.String("entry", e.Entry))
	}
	if e.Grant != (structs.GrantID{}) {
		fields = append(fields, zap.String("grant", formatGrantID(e.Grant)))
	}
	if e.Event == event.RunStarted {
		fields = append(fields, zap.String("task", e.Task), zap.Duration("queued_ms", e.Waited))
	}
	if e.Detail != "" {
		fields = append(fields, zap.String("detail", e.Detail))
	}
	log.Event(e.Event, append(fields, logging.Fields(e.Fields)...)...)
}
