"""The messages between our processes, as Thrift structures."""
