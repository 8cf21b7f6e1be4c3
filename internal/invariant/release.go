//go:build !debug

package invariant

import "log/slog"

func fail(text string) { slog.Error("broken", "what", text) }
