"""Decision logic as functions over in-memory state, without I/O."""
