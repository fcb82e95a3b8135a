package logwriter

import "go.uber.org/zap/zapcore"

// PlainErrors makes a core write errors as their message alone. Errors carry
// their stack, which would be most of the log's volume.
func PlainErrors(core zapcore.Core) zapcore.Core { return plainCore{core} }

type plainCore struct{ zapcore.Core }

func (c plainCore) With(fields []zapcore.Field) zapcore.Core {
	return plainCore{c.Core.With(plain(fields))}
}

func (c plainCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

func (c plainCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, plain(fields))
}

func plain(fields []zapcore.Field) []zapcore.Field {
	out := make([]zapcore.Field, len(fields))
	for i, field := range fields {
		if err, ok := field.Interface.(error); ok && field.Type == zapcore.ErrorType {
			field = zapcore.Field{Key: field.Key, Type: zapcore.StringType, String: err.Error()}
		}
		out[i] = field
	}
	return out
}
