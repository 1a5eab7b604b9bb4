"""Start, signals, drain and stop."""
