package logwriter

import "go.uber.org/zap/zapcore"

// WithoutStackTraces wraps a core so that it writes the errors in log fields without their
// stack traces, which would otherwise make up most of the log.
func WithoutStackTraces(core zapcore.Core) zapcore.Core { return stacklessCore{core} }

// stacklessCore replaces errors in log fields with their messages.
type stacklessCore struct{ zapcore.Core }

func (c stacklessCore) With(fields []zapcore.Field) zapcore.Core {
	return stacklessCore{c.Core.With(replaceErrors(fields))}
}

func (c stacklessCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

func (c stacklessCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, replaceErrors(fields))
}

// replaceErrors returns a copy of fields in which each error is a string field with
// the error's message.
func replaceErrors(fields []zapcore.Field) []zapcore.Field {
	out := make([]zapcore.Field, len(fields))
	for i, field := range fields {
		if err, ok := field.Interface.(error); ok && field.Type == zapcore.ErrorType {
			field = zapcore.Field{Key: field.Key, Type: zapcore.StringType, String: err.Error()}
		}
		out[i] = field
	}
	return out
}
