"""Tasks that own sockets and cores and make a process of them."""
