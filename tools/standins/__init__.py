"""Stand-ins for model engines and plain services."""
