package entryd

import "go.uber.org/zap"

// errorField returns an error's text for the log, without a stack trace, or no
// field without an error.
func errorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
