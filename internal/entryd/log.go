package entryd

import "go.uber.org/zap"

// errorField returns a log field with the text of an error, without a stack
// trace, or a field that is skipped if the error is nil.
func errorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
