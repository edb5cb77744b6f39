"""An open-loop load generator whose callers check their answers."""
