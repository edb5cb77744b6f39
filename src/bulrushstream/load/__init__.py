"""An open-loop load generator that checks the answers it receives."""
