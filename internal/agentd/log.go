package agentd

import (
	"go.uber.org/zap"

	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/structs"
)

// logDecided writes an event that the decisions reported.
func logDecided(log *logging.Logger, e *agent.Happened) {
	var fields []logging.Field
	if e.Entry != "" {
		fields = append(fields, zap.String("entry", e.Entry))
	}
	if e.Grant != (structs.GrantID{}) {
		fields = append(fields, zap.String("grant", grantText(e.Grant)))
	}
	if e.Detail != "" {
		fields = append(fields, zap.String("detail", e.Detail))
	}
	log.Event(e.Event, fields...)
}
